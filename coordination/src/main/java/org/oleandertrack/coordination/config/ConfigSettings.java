package org.oleandertrack.coordination.config;

/**
 * Times and sizes of the configuration log. Immutable.
 *
 * @param zonePollNanos time between two polls by any process of a zone
 * @param pageRows rows read with one request
 * @param snapshotVersions versions between two snapshots
 * @param keptChanges changes kept in memory for peers
 */
public record ConfigSettings(
        long zonePollNanos, int pageRows, int snapshotVersions, int keptChanges) {

    /** Returns the values used unless the settings say otherwise. */
    public static ConfigSettings defaults() {
        return new ConfigSettings(500_000_000L, 256, 256, 512);
    }
}
