package org.oleandertrack.core.health;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * The 95th percentile of how much later than predicted recent sends were answered. Uses a fixed
 * amount of memory.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
final class LatenessQuantile {

    private static final int WINDOW_SAMPLES = 512;
    private static final int MIN_SAMPLES = 40;
    // Number of samples after which the quantile is computed again.
    private static final int SAMPLES_PER_REFRESH = 16;
    private static final double QUANTILE = 0.95;

    private final long[] mSamplesNanos = new long[WINDOW_SAMPLES];
    private int mSampleCount;
    private boolean mHasQuantile;
    private long mQuantileNanos;

    /** Returns the quantile in nanoseconds; empty until enough samples have been recorded. */
    OptionalLong nanos() {
        return mHasQuantile ? OptionalLong.of(mQuantileNanos) : OptionalLong.empty();
    }

    /** Records the lateness of a send, in nanoseconds; negative if it was answered early. */
    void record(long latenessNanos) {
        mSamplesNanos[mSampleCount % WINDOW_SAMPLES] = latenessNanos;
        mSampleCount++;
        // Prevents an overflow; the index and the next refresh stay the same.
        if (mSampleCount == 2 * WINDOW_SAMPLES) {
            mSampleCount = WINDOW_SAMPLES;
        }
        if (mSampleCount >= MIN_SAMPLES
                && (!mHasQuantile || mSampleCount % SAMPLES_PER_REFRESH == 0)) {
            long[] sorted = Arrays.copyOf(mSamplesNanos, Math.min(mSampleCount, WINDOW_SAMPLES));
            Arrays.sort(sorted);
            mQuantileNanos = sorted[(int) (QUANTILE * (sorted.length - 1))];
            mHasQuantile = true;
        }
    }
}
