package org.oleandertrack.coordination.config;

/**
 * The state that the changes are folded into. Called under the log's lock, in the order of the
 * versions; implementations must not block, fail or call the log. Every process must fold the same
 * changes into the same state.
 */
public interface ConfigState {

    /** Folds a change in. */
    void apply(ConfigChange change);

    /** Encodes the state for a snapshot. */
    byte[] encode();

    /** Replaces the state by a snapshot's, which is newer. */
    void restore(ConfigSnapshot snapshot);
}
