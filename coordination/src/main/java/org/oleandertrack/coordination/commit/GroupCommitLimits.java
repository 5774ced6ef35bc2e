package org.oleandertrack.coordination.commit;

/**
 * Bounds of a group commit. Immutable.
 *
 * @param commitsPerSecond table transactions per second that the process may use
 * @param burstCommits transactions that may follow each other at once after a quiet time
 * @param maxPendingCount submissions that may be under way or wait
 * @param maxPendingBytes bytes of the submissions that may be under way or wait
 * @param maxBatchCount submissions in one transaction
 * @param maxBatchBytes bytes of the submissions in one transaction
 * @param maxBatchesInFlight transactions under way at the same time
 * @param minBackoffNanos upper bound of the first wait after a failure; it doubles with each one
 * @param maxBackoffNanos largest upper bound of a wait after a failure
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

    /** Returns the bounds used unless the settings say otherwise. */
    public static GroupCommitLimits defaults() {
        return new GroupCommitLimits(
                20, 20, 8_192, 32L << 20, 512, 4L << 20, 4, 50_000_000L, 1_000_000_000L);
    }

    /** Returns the same bounds with another allowance of transactions. */
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

    /** Returns the same bounds with another bound of the queue. */
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
