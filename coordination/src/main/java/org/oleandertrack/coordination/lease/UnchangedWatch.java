package org.oleandertrack.coordination.lease;

/**
 * Measures for how long this process has seen a row unchanged while the store answered. Not thread
 * safe.
 *
 * <p>The measurement starts when the first answer with a version arrives, because the row may have
 * been written just before. The time between two answers counts only if no request failed in
 * between. Otherwise all leases would expire in an outage of the store, in which no holder can
 * renew.
 */
final class UnchangedWatch {

    private long mVersion;
    private long mCountedUntilNanos;
    private long mUnchangedNanos;
    private boolean mRequestFailed;
    private boolean mChanged;

    /**
     * Records an answer of the store.
     *
     * @param version version of the row in the answer
     * @param sentNanos nano clock reading before the request was sent
     * @param answeredNanos nano clock reading after the answer arrived
     * @param maxGapNanos longest gap between two answers that counts; after a longer gap, this
     *     process was paused or the store was slow
     */
    void onAnswer(long version, long sentNanos, long answeredNanos, long maxGapNanos) {
        if (version != mVersion) {
            mChanged = mVersion != 0;
            mVersion = version;
            mCountedUntilNanos = answeredNanos;
            mUnchangedNanos = 0;
            mRequestFailed = false;
            return;
        }
        long gapNanos = sentNanos - mCountedUntilNanos;
        if (!mRequestFailed && gapNanos > 0 && gapNanos <= maxGapNanos) {
            mUnchangedNanos += gapNanos;
        }
        mRequestFailed = false;
        mCountedUntilNanos = Math.max(sentNanos, mCountedUntilNanos);
    }

    /** Records a failed request: the time until the next answer does not count. */
    void onRequestFailed() {
        mRequestFailed = true;
    }

    /** Returns whether the row changed between two answers, which proves that its writer runs. */
    boolean hasChanged() {
        return mChanged;
    }

    /** Returns whether the row stayed unchanged for a whole lease, allowing for clock drift. */
    boolean hasLeaseExpired(long leaseMillis) {
        // The clocks of two hosts drift apart by less than 0.1%; a margin of 1% covers this.
        return mUnchangedNanos >= leaseMillis * 1_010_000L;
    }
}
