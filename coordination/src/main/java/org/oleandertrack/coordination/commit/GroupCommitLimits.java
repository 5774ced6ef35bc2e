package org.oleandertrack.coordination.commit;

/**
 * Limits of a group commit. Immutable.
 *
 * @param commitsPerSecond largest number of table transactions per second
 * @param burstCommits largest number of transactions that are sent at once after an idle time
 * @param maxPendingCount largest number of submissions that wait or are in flight
 * @param maxPendingBytes largest size of all submissions that wait or are in flight
 * @param maxBatchCount largest number of submissions in one transaction
 * @param maxBatchBytes largest size of the submissions in one transaction
 * @param maxBatchesInFlight largest number of transactions in flight at the same time
 * @param minBackoffNanos upper bound of the random delay after the first failure; the bound doubles
 *     with each further failure in a row
 * @param maxBackoffNanos largest value of the upper bound of the delay
 */
public record GroupCommitLimits(
        int commitsPerSecond,
        int burstCommits,
        int maxPendingCount,
        long maxPendingBytes,
        int maxBatchCount,
        long maxBatchBytes,
        int maxBatchesInFlight,
        long minBackoffNanos,
        long maxBackoffNanos) {

    /** Returns the default limits. */
    public static GroupCommitLimits defaults() {
        return new GroupCommitLimits(
                20, 20, 8_192, 32L << 20, 512, 4L << 20, 4, 50_000_000L, 1_000_000_000L);
    }

    /** Returns a copy with another rate limit of transactions. */
    public GroupCommitLimits withCommits(int perSecond, int burst) {
        return new GroupCommitLimits(
                perSecond,
                burst,
                maxPendingCount,
                maxPendingBytes,
                maxBatchCount,
                maxBatchBytes,
                maxBatchesInFlight,
                minBackoffNanos,
                maxBackoffNanos);
    }

    /** Returns a copy with other limits of pending submissions. */
    public GroupCommitLimits withMaxPending(int count, long bytes) {
        return new GroupCommitLimits(
                commitsPerSecond,
                burstCommits,
                count,
                bytes,
                maxBatchCount,
                maxBatchBytes,
                maxBatchesInFlight,
                minBackoffNanos,
                maxBackoffNanos);
    }
}
