package org.oleandertrack.coordination.lease;

/**
 * Times and sizes of leases and shards. Immutable.
 *
 * @param leaseNanos length of a member lease
 * @param renewNanos time between renewals
 * @param minScanNanos least time between two scans by one node
 * @param scansPerSecond scans per second that all nodes together may cause; with more nodes each
 *     scans less often
 * @param shards number of shards; the same on every node
 * @param pageRows rows read with one request
 * @param maxMovesPerScan shards that a node hands over after one scan for an even spread
 */
public record LeaseSettings(
        long leaseNanos,
        long renewNanos,
        long minScanNanos,
        int scansPerSecond,
        int shards,
        int pageRows,
        int maxMovesPerScan) {

    /** Returns the values used unless the settings say otherwise. */
    public static LeaseSettings defaults() {
        return new LeaseSettings(6_000_000_000L, 2_000_000_000L, 500_000_000L, 400, 64, 1_000, 16);
    }

    /** Returns the same values with another number of shards. */
    public LeaseSettings withShards(int count) {
        return new LeaseSettings(
                leaseNanos,
                renewNanos,
                minScanNanos,
                scansPerSecond,
                count,
                pageRows,
                maxMovesPerScan);
    }
}
