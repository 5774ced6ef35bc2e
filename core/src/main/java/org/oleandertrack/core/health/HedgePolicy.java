package org.oleandertrack.core.health;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Decides when a second attempt of a call is sent to another target. Only calls that may be
 * repeated are hedged, at most 5 in 100 calls, and only once the attempt is later than expected by
 * more than the p95 of what attempts are late, and by more than the second attempt costs. What is
 * watched, for instance the time to the first tokens, is the owner's choice: calls of one policy
 * must be comparable.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class HedgePolicy {

    /** Hedged calls for each hundred calls. */
    public static final int PER_HUNDRED = 5;

    private static final int MAX_SAVED = 20;
    private static final int WINDOW = 512;
    private static final int MIN_SAMPLES = 40;
    // The quantile is computed anew after this many samples.
    private static final int REFRESH = 16;
    private static final double QUANTILE = 0.95;

    private final Allowance mAllowance = new Allowance(PER_HUNDRED, MAX_SAVED);
    private final long[] mSamples = new long[WINDOW];
    private int mCount;
    private boolean mKnown;
    private long mLateNanos;

    /** Counts a call of a caller; its attempts are not counted. */
    public void counted() {
        mAllowance.counted();
    }

    /**
     * Takes in the watched time of an attempt that was not cancelled.
     *
     * @param expectedNanos time predicted when the attempt was sent, in nanoseconds
     * @param nanos time that it took, in nanoseconds
     */
    public void recorded(long expectedNanos, long nanos) {
        mSamples[mCount % WINDOW] = nanos - expectedNanos;
        mCount++;
        if (mCount >= MIN_SAMPLES && (!mKnown || mCount % REFRESH == 0)) {
            long[] sorted = Arrays.copyOf(mSamples, Math.min(mCount, WINDOW));
            Arrays.sort(sorted);
            mLateNanos = sorted[(int) (QUANTILE * (sorted.length - 1))];
            mKnown = true;
        }
    }

    /**
     * Returns the time after which an attempt is hedged, once enough calls have been seen.
     *
     * @param expectedNanos time predicted when the attempt was sent, in nanoseconds
     * @param repeatNanos what a second attempt computes again, in nanoseconds
     */
    public OptionalLong delayNanos(long expectedNanos, long repeatNanos) {
        return mKnown
                ? OptionalLong.of(expectedNanos + Math.max(mLateNanos, repeatNanos))
                : OptionalLong.empty();
    }

    /**
     * Returns whether an attempt that has taken {@link #delayNanos} may be hedged now, and if so
     * takes the hedge from the allowance.
     *
     * @param repeatable whether the call may be repeated
     * @param lateNanos time that the attempt has taken beyond the predicted one, in nanoseconds
     * @param predictedNanos time predicted for the second attempt, in nanoseconds
     */
    public boolean tryHedge(boolean repeatable, long lateNanos, long predictedNanos) {
        return repeatable && predictedNanos <= lateNanos && mAllowance.take();
    }
}
