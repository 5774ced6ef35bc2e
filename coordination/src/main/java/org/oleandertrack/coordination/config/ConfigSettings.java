package org.oleandertrack.coordination.config;

/**
 * Settings of the configuration log. Immutable.
 *
 * @param zonePollNanos time between two polls, counting the polls of all processes of a zone
 * @param pageRows largest number of rows read with one request
 * @param snapshotVersions number of versions between two snapshots
 * @param keptChanges number of the latest changes kept in memory, for peers and to recognise
 *     repeated changes
 */
public record ConfigSettings(
        long zonePollNanos, int pageRows, int snapshotVersions, int keptChanges) {

    /** Returns the default settings. */
    public static ConfigSettings defaults() {
        return new ConfigSettings(500_000_000L, 256, 256, 512);
    }
}
