package org.oleandertrack.coordination.lease;

/**
 * Settings of member leases and shard ownership. Immutable.
 *
 * <p>Each node regularly scans the table: it reads all shard rows and then all member rows.
 *
 * @param leaseNanos duration of a member lease
 * @param renewNanos time between two renewals of a lease
 * @param minScanNanos shortest time between two scans by one node
 * @param scansPerSecond largest number of reads of all shard rows or of all member rows per second,
 *     over all nodes; the more nodes there are, the less often each node scans
 * @param shards total number of shards; must be the same on every node
 * @param pageRows largest number of rows read with one request
 * @param maxHandoversPerScan largest number of shards that a node hands over to other nodes after
 *     one scan, to spread the shards evenly
 */
public record LeaseSettings(
        long leaseNanos,
        long renewNanos,
        long minScanNanos,
        int scansPerSecond,
        int shards,
        int pageRows,
        int maxHandoversPerScan) {

    /** Returns the default settings. */
    public static LeaseSettings defaults() {
        return new LeaseSettings(6_000_000_000L, 2_000_000_000L, 500_000_000L, 400, 64, 1_000, 16);
    }

    /** Returns a copy with another number of shards. */
    public LeaseSettings withShards(int count) {
        return new LeaseSettings(
                leaseNanos,
                renewNanos,
                minScanNanos,
                scansPerSecond,
                count,
                pageRows,
                maxHandoversPerScan);
    }
}
