package org.oleandertrack.bench;

import java.util.Arrays;

/** A collection of durations, recorded in nanoseconds, with mean and quantiles. */
final class Samples {

    private static final double NANOS_PER_SECOND = 1e9;

    private long[] mValues = new long[1_024];
    private int mCount;

    void add(long nanos) {
        if (mCount == mValues.length) {
            mValues = Arrays.copyOf(mValues, 2 * mCount);
        }
        mValues[mCount++] = nanos;
    }

    int count() {
        return mCount;
    }

    double meanSeconds() {
        return Arrays.stream(mValues, 0, mCount).average().orElse(0) / NANOS_PER_SECOND;
    }

    /**
     * Returns a quantile by the nearest-rank method, or 0 if there are no samples.
     *
     * @param quantile fraction of the samples, such as 0.99
     */
    double quantileSeconds(double quantile) {
        if (mCount == 0) {
            return 0;
        }
        long[] sorted = Arrays.copyOf(mValues, mCount);
        Arrays.sort(sorted);
        int index = (int) Math.ceil(quantile * mCount) - 1;
        return sorted[Math.max(0, index)] / NANOS_PER_SECOND;
    }
}
