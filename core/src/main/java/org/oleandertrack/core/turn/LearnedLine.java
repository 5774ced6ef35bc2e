package org.oleandertrack.core.turn;

/**
 * A time that depends linearly on a size, learned by least squares of the relative error. It starts
 * from given constants, which keep the weight of a few observations. Observations are clipped, so
 * that a single odd one has little effect, and older ones are forgotten. Not thread-safe: the owner
 * guards each instance with its own lock.
 */
final class LearnedLine {

    // About the last 200 observations of the service count.
    private static final double FORGETTING = 0.995;
    // Weight of the constants at each of two sizes, in observations. It limits the effect of a
    // first, odd observation to 9%, which is within the dead band.
    private static final double PRIOR_WEIGHT = 5;
    // The weight of the constants decreases with each observation, down to this fraction. With 0.1,
    // hosts of a model whose engines have the constants left the dead band; with 0.5, a prefill
    // speed
    // of 157 tokens per ms was learned as 125.
    private static final double PRIOR_FORGETTING = 0.98;
    private static final double MIN_PRIOR_SHARE = 0.25;
    // An observation counts as at most this many times the predicted time, and at least as one
    // divided by it.
    private static final double MAX_RATIO = 1.5;
    // The constants stay in force while the learned times differ from them by less.
    private static final double DEAD_BAND = 0.1;
    // Bounds of each coefficient relative to its constant.
    private static final double MAX_CHANGE = 4;

    private final double mPriorIntercept;
    private final double mPriorSlope;
    private final double mExcessWeight;
    private final double mToleranceMillis;
    private double mIntercept;
    private double mSlope;
    // Weighted sums over the observations of 1, x, x squared, y and x times y.
    private double mWeights;
    private double mX;
    private double mXx;
    private double mY;
    private double mXy;
    private double mPriorWeights;
    private double mPriorX;
    private double mPriorXx;
    private double mPriorShare = 1;

    /**
     * Creates a line that is equal to the constants.
     *
     * @param intercept time at size 0, in milliseconds; positive
     * @param slope increase of the time per unit of size, in milliseconds; positive
     * @param usualSize size at which the constants hold, beside size 0
     * @param excessWeight weight of an observation above the predicted time; less than 1 if the
     *     time is often lengthened by something else
     * @param toleranceMillis difference from the constants that is ignored in addition to 10%
     */
    LearnedLine(
            double intercept,
            double slope,
            double usualSize,
            double excessWeight,
            double toleranceMillis) {
        mPriorIntercept = intercept;
        mPriorSlope = slope;
        mExcessWeight = excessWeight;
        mToleranceMillis = toleranceMillis;
        mIntercept = intercept;
        mSlope = slope;
        double weightAtZero = PRIOR_WEIGHT / square(intercept);
        double weightAtUsual = PRIOR_WEIGHT / square(intercept + slope * usualSize);
        mPriorWeights = weightAtZero + weightAtUsual;
        mPriorX = weightAtUsual * usualSize;
        mPriorXx = weightAtUsual * square(usualSize);
    }

    /** Returns whether the constants are in force, because what was learned is close to them. */
    boolean isPrior() {
        double meanX = (mX + mPriorX) / (mWeights + mPriorWeights);
        double variance = (mXx + mPriorXx) / (mWeights + mPriorWeights) - square(meanX);
        double spread = Math.sqrt(Math.max(0, variance));
        return isNearPrior(Math.max(0, meanX - spread)) && isNearPrior(meanX + spread);
    }

    /** Returns the intercept in force. */
    double intercept() {
        return isPrior() ? mPriorIntercept : mIntercept;
    }

    /** Returns the slope in force. */
    double slope() {
        return isPrior() ? mPriorSlope : mSlope;
    }

    /** Records the time that was observed at a size. */
    void record(double size, double millis) {
        double predicted = mIntercept + mSlope * size;
        double clipped = Math.clamp(millis, predicted / MAX_RATIO, predicted * MAX_RATIO);
        double prior = mPriorIntercept + mPriorSlope * size;
        double weight = (millis > predicted ? mExcessWeight : 1) / square(prior);
        mWeights = mWeights * FORGETTING + weight;
        mX = mX * FORGETTING + weight * size;
        mXx = mXx * FORGETTING + weight * square(size);
        mY = mY * FORGETTING + weight * clipped;
        mXy = mXy * FORGETTING + weight * size * clipped;
        forgetPrior();
        solve();
    }

    private void forgetPrior() {
        double share = Math.max(MIN_PRIOR_SHARE, mPriorShare * PRIOR_FORGETTING);
        double ratio = share / mPriorShare;
        mPriorWeights *= ratio;
        mPriorX *= ratio;
        mPriorXx *= ratio;
        mPriorShare = share;
    }

    private void solve() {
        double weights = mWeights + mPriorWeights;
        double x = mX + mPriorX;
        double xx = mXx + mPriorXx;
        double y = mY + mPriorIntercept * mPriorWeights + mPriorSlope * mPriorX;
        double xy = mXy + mPriorIntercept * mPriorX + mPriorSlope * mPriorXx;
        double slope = (weights * xy - x * y) / (weights * xx - square(x));
        mSlope = Math.clamp(slope, mPriorSlope / MAX_CHANGE, mPriorSlope * MAX_CHANGE);
        mIntercept =
                Math.clamp(
                        (y - mSlope * x) / weights,
                        mPriorIntercept / MAX_CHANGE,
                        mPriorIntercept * MAX_CHANGE);
    }

    private boolean isNearPrior(double size) {
        double prior = mPriorIntercept + mPriorSlope * size;
        double difference = Math.abs(mIntercept + mSlope * size - prior);
        return difference <= DEAD_BAND * prior + mToleranceMillis;
    }

    private static double square(double value) {
        return value * value;
    }
}
