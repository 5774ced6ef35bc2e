package org.oleandertrack.core.health;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Decides when a second attempt of a call is sent to another target. Only calls that may be
 * repeated are hedged, after the expected p95 of the watched time, and at most 5 in 100 calls. What
 * is watched, for instance the time to the first token, is the owner's choice: calls of one policy
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
    private long mDelayNanos = -1;

    /** Counts a call of a caller; its attempts are not counted. */
    public void counted() {
        mAllowance.counted();
    }

    /** Takes in the watched time of an attempt that was not cancelled, in nanoseconds. */
    public void recorded(long nanos) {
        mSamples[mCount % WINDOW] = nanos;
        mCount++;
        if (mCount >= MIN_SAMPLES && (mDelayNanos < 0 || mCount % REFRESH == 0)) {
            long[] sorted = Arrays.copyOf(mSamples, Math.min(mCount, WINDOW));
            Arrays.sort(sorted);
            mDelayNanos = sorted[(int) (QUANTILE * (sorted.length - 1))];
        }
    }

    /** Returns the time after which an attempt is hedged, once enough calls have been seen. */
    public OptionalLong delayNanos() {
        return mDelayNanos < 0 ? OptionalLong.empty() : OptionalLong.of(mDelayNanos);
    }

    /**
     * Returns whether an attempt that has taken {@link #delayNanos} may be hedged now, and if so
     * takes the hedge from the allowance.
     *
     * @param repeatable whether the call may be repeated
     */
    public boolean tryHedge(boolean repeatable) {
        return repeatable && mAllowance.take();
    }
}
