package org.oleandertrack.core.ledger;

/**
 * A request to the engine to free the memory held by an owner.
 *
 * @param id number of the release; only a confirmation with the same number counts
 * @param owner owner whose memory is to be freed
 * @param reason why the memory is freed
 * @param heldTokens number of tokens that the owner holds according to the ledger
 * @param attempt number of this attempt, counted from 1 after each confirmed release
 */
public record Release(long id, String owner, ReleaseReason reason, long heldTokens, int attempt) {}
