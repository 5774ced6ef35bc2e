package org.oleandertrack.coordination.pacing;

import java.util.concurrent.TimeUnit;

/**
 * Decides how many writes a second this host makes while the store is over its rate. A host knows
 * neither the demand nor the writes of the others. Its rate begins with the larger of its even
 * share and most of what it wrote just before, falls with each refusal and rises steadily in
 * between; so all rates together follow what the store takes. Not thread-safe; times are passed in.
 */
final class WriteRate {

    // Refusals of calls that were in flight together are answered with one decrease.
    private static final long REACTION_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double DECREASE_FACTOR = 0.7;
    // The first decrease is smaller, because the writes that are saved from now on reduce the
    // demand.
    private static final double FIRST_FACTOR = 0.9;
    // After this time without a refusal, the rate begins anew.
    private static final long RESTART_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    // At the even share or below, the store takes less than its stated rate, or other hosts take
    // more.
    private static final double NEAR_SHARE_FACTOR = 1.2;
    private static final double DECREASE_FACTOR_BELOW_SHARE = 0.85;
    // Rise per second, relative to the even share. With 0.5, a store that takes half of its stated
    // rate refused a third more writes in a replay.
    private static final double INCREASE_SHARE = 0.25;
    private static final double MIN_WRITES_PER_SECOND = 2;
    // Unused rate is kept for this long.
    private static final double BURST_SECONDS = 0.1;
    private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final double mTotalWritesPerSecond;
    private double mEvenShare;
    private boolean mRefused;
    private long mLastRefusalNanos;
    private long mLastDecreaseNanos;
    private double mWritesPerSecond;
    private double mTokens;
    private long mUpdatedNanos;
    private long mWindowStartNanos;
    private int mWindowWrites;
    private int mPreviousWindowWrites;

    /**
     * Creates a rate that is not short.
     *
     * @param totalWritesPerSecond stated rate for all hosts together
     */
    WriteRate(double totalWritesPerSecond, long nowNanos) {
        mTotalWritesPerSecond = totalWritesPerSecond;
        mEvenShare = totalWritesPerSecond;
        mWritesPerSecond = totalWritesPerSecond;
        mUpdatedNanos = nowNanos;
        mWindowStartNanos = nowNanos;
    }

    // Accessors

    /** Returns whether the store has refused a write within the given time. */
    boolean isShort(long nowNanos, long withinNanos) {
        return mRefused && nowNanos - mLastRefusalNanos < withinNanos;
    }

    /** Returns the current rate; meaningful only while it is short. */
    double writesPerSecond() {
        return mWritesPerSecond;
    }

    /** Returns the current rate relative to the even share, but at most 1. */
    double shareTaken() {
        return Math.min(1, mWritesPerSecond / mEvenShare);
    }

    /** Returns the time after which the given number of further writes may have been made. */
    long nanosUntil(int writes, long nowNanos) {
        update(nowNanos);
        return (long)
                Math.ceil(Math.max(0, writes - mTokens) / mWritesPerSecond * NANOS_PER_SECOND);
    }

    // Operations

    void setHostCount(int hosts) {
        mEvenShare = mTotalWritesPerSecond / Math.max(1, hosts);
    }

    /** Records a write that was made without asking for permission. */
    void recordWrite(long nowNanos) {
        long windows = (nowNanos - mWindowStartNanos) / WINDOW_NANOS;
        if (windows > 0) {
            mPreviousWindowWrites = windows == 1 ? mWindowWrites : 0;
            mWindowWrites = 0;
            mWindowStartNanos += windows * WINDOW_NANOS;
        }
        mWindowWrites++;
    }

    /** Returns whether a write may be made now; if so, it counts as made. */
    boolean tryTake(long nowNanos) {
        update(nowNanos);
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        recordWrite(nowNanos);
        return true;
    }

    /** Records that the store refused a write for its rate. */
    void recordRefusal(long nowNanos) {
        if (!isShort(nowNanos, RESTART_NANOS)) {
            recordWrite(nowNanos);
            mWritesPerSecond = Math.max(mEvenShare, FIRST_FACTOR * recentWritesPerSecond());
            mTokens = 0;
            mUpdatedNanos = nowNanos;
            mLastDecreaseNanos = nowNanos;
        } else if (nowNanos - mLastDecreaseNanos >= REACTION_NANOS) {
            update(nowNanos);
            mWritesPerSecond =
                    mWritesPerSecond > NEAR_SHARE_FACTOR * mEvenShare
                            ? Math.max(mEvenShare, DECREASE_FACTOR * mWritesPerSecond)
                            : Math.max(
                                    MIN_WRITES_PER_SECOND,
                                    DECREASE_FACTOR_BELOW_SHARE * mWritesPerSecond);
            mTokens = Math.min(mTokens, 0);
            mLastDecreaseNanos = nowNanos;
        }
        mRefused = true;
        mLastRefusalNanos = nowNanos;
    }

    // Helpers

    private double recentWritesPerSecond() {
        return Math.max(mPreviousWindowWrites, mWindowWrites) / (WINDOW_NANOS / NANOS_PER_SECOND);
    }

    private void update(long nowNanos) {
        double seconds = Math.max(0, nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        mUpdatedNanos = nowNanos;
        mWritesPerSecond += INCREASE_SHARE * mEvenShare * seconds;
        mTokens =
                Math.min(
                        Math.max(1, BURST_SECONDS * mWritesPerSecond),
                        mTokens + mWritesPerSecond * seconds);
    }
}
