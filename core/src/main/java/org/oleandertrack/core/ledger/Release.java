package org.oleandertrack.core.ledger;

/**
 * An order to free what an owner holds in the engine.
 *
 * @param id number of the order; a confirmation of another number is of no use
 * @param owner whose memory is to be freed
 * @param reason why
 * @param heldTokens tokens that the ledger counts as held by the owner
 * @param attempt number of the attempt since the last confirmed one, counted from 1
 */
public record Release(long id, String owner, ReleaseReason reason, long heldTokens, int attempt) {}
