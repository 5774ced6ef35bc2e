package org.oleandertrack.coordination.lease;

/**
 * Counts for how long a contender has itself seen a row unchanged while the store answered it. Not
 * thread safe.
 *
 * <p>The first answer with a version starts the count, because the row may have been written just
 * before. A span counts only if the store answered at both ends and nothing failed in between.
 * Otherwise all leases would run out in an outage, in which no holder can renew.
 */
final class UnchangedWatch {

    private long mVersion;
    private long mCountedToNanos;
    private long mUnchangedNanos;
    private boolean mInterrupted;
    private boolean mChanged;

    /**
     * Takes an answer.
     *
     * @param sentNanos time before the request was sent
     * @param answeredNanos time after the answer arrived
     * @param maxGapNanos longest span between two requests that counts; longer ones mean that this
     *     process was paused or the store was slow
     */
    void seen(long version, long sentNanos, long answeredNanos, long maxGapNanos) {
        if (version != mVersion) {
            mChanged = mVersion != 0;
            mVersion = version;
            mCountedToNanos = answeredNanos;
            mUnchangedNanos = 0;
            mInterrupted = false;
            return;
        }
        long gapNanos = sentNanos - mCountedToNanos;
        if (!mInterrupted && gapNanos > 0 && gapNanos <= maxGapNanos) {
            mUnchangedNanos += gapNanos;
        }
        mInterrupted = false;
        mCountedToNanos = Math.max(sentNanos, mCountedToNanos);
    }

    /** Takes a request that failed. */
    void interrupted() {
        mInterrupted = true;
    }

    /** Returns whether the row changed while it was watched, which proves a live writer. */
    boolean hasChanged() {
        return mChanged;
    }

    /** Returns whether the row stayed unchanged for a lease, allowing for clock drift. */
    boolean expired(long leaseMillis) {
        // Clocks of two hosts run apart by less than 1 part in 1,000; 1 in 100 is ample.
        return mUnchangedNanos >= leaseMillis * 1_010_000L;
    }
}
