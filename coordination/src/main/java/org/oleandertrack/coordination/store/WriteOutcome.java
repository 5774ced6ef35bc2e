package org.oleandertrack.coordination.store;

/** Outcome of one conditional write. */
public sealed interface WriteOutcome {

    /**
     * The write took effect.
     *
     * @param version the row's new version; 0 after a deletion
     */
    record Applied(long version) implements WriteOutcome {}

    /**
     * The condition did not hold and nothing was written.
     *
     * @param currentVersion the row's version; 0 if it is absent
     */
    record Conflict(long currentVersion) implements WriteOutcome {}
}
