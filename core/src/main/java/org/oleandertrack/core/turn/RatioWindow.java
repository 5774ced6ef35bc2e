package org.oleandertrack.core.turn;

import java.util.Arrays;

/**
 * The last logarithmic ratios of observed to reference times of one target. The weight of an
 * observation decays with its age. The median is used, so that fewer than half of the observations
 * cannot move it. Not thread-safe: the owner guards each instance with its own lock.
 */
final class RatioWindow {

    // Time constant of the decay. After about 200 s without a new observation, a full window of a
    // target that gets no requests because it was slow counts for nothing, and the target is tried
    // again.
    private static final double DECAY_NANOS = 120e9;

    private final double[] mLogRatios;
    private final long[] mObservedNanos;
    private int mCount;
    private int mNext;
    private double mMedian;
    private double mWeight;
    private long mLastNanos;
    private boolean mDifferent;

    /** Creates an empty window of the given number of observations. */
    RatioWindow(int size) {
        mLogRatios = new double[size];
        mObservedNanos = new long[size];
    }

    boolean hasObservations() {
        return mCount > 0;
    }

    /** Returns the sum of the weights of all observations; each has weight 1 when it is new. */
    double weight(long nowNanos) {
        return mWeight * decay(nowNanos - mLastNanos);
    }

    /** Returns the weighted median; of two middle values the one closer to 0. */
    double median() {
        return mMedian;
    }

    /** Returns whether the target is known to be faster or slower than its service. */
    boolean isDifferent() {
        return mDifferent;
    }

    void setDifferent(boolean different) {
        mDifferent = different;
    }

    /** Records an observation. */
    void record(double logRatio, long nowNanos) {
        mLogRatios[mNext] = logRatio;
        mObservedNanos[mNext] = nowNanos;
        mNext = (mNext + 1) % mLogRatios.length;
        mCount = Math.min(mCount + 1, mLogRatios.length);
        mLastNanos = nowNanos;
        updateMedian(nowNanos);
    }

    private void updateMedian(long nowNanos) {
        Integer[] order = new Integer[mCount];
        mWeight = 0;
        for (int i = 0; i < mCount; i++) {
            order[i] = i;
            mWeight += decay(nowNanos - mObservedNanos[i]);
        }
        Arrays.sort(order, (a, b) -> Double.compare(mLogRatios[a], mLogRatios[b]));
        double below = medianFrom(order, nowNanos, 0, 1);
        double above = medianFrom(order, nowNanos, mCount - 1, -1);
        mMedian = Math.abs(below) < Math.abs(above) ? below : above;
    }

    // Returns the first value, in the given direction, at which half of the weight is reached.
    private double medianFrom(Integer[] order, long nowNanos, int start, int step) {
        double weight = 0;
        int i = start;
        while (true) {
            weight += decay(nowNanos - mObservedNanos[order[i]]);
            if (weight >= mWeight / 2 || i + step < 0 || i + step >= mCount) {
                return mLogRatios[order[i]];
            }
            i += step;
        }
    }

    private static double decay(long ageNanos) {
        return Math.exp(-Math.max(0, ageNanos) / DECAY_NANOS);
    }
}
