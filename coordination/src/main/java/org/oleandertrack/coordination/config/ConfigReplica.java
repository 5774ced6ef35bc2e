package org.oleandertrack.coordination.config;

/**
 * The configuration as a state machine, to which the log applies the changes. Called under the lock
 * of the log, in the order of the versions; implementations must not block, fail or call the log.
 * The same changes must result in the same state in every process.
 */
public interface ConfigReplica {

    /** Applies the change that follows the current version. */
    void apply(ConfigChange change);

    /** Encodes the state for a snapshot. */
    byte[] encode();

    /** Replaces the state by that of a newer snapshot. */
    void restore(ConfigSnapshot snapshot);
}
