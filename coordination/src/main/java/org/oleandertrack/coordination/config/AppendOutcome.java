package org.oleandertrack.coordination.config;

/** What became of a change. */
public sealed interface AppendOutcome {

    /**
     * The change is durable.
     *
     * @param version version that it made
     */
    record Accepted(long version) implements AppendOutcome {}

    /**
     * The change was not made, because the configuration is at another version than it replaces.
     *
     * @param winningVersion latest version known
     */
    record Conflict(long winningVersion) implements AppendOutcome {}

    /** The store did not confirm the change. It may be repeated with the same change id. */
    record Unknown() implements AppendOutcome {}
}
