package org.oleandertrack.coordination.config;

/** Outcome of appending a change. */
public sealed interface AppendOutcome {

    /**
     * The change is durable.
     *
     * @param version version of the configuration with the change
     */
    record Accepted(long version) implements AppendOutcome {}

    /**
     * The change was not made, because the version that it replaces is not the current one.
     *
     * @param currentVersion current version as far as it is known
     */
    record Conflict(long currentVersion) implements AppendOutcome {}

    /** The store did not confirm the change. The append may be repeated with the same change id. */
    record Unknown() implements AppendOutcome {}
}
