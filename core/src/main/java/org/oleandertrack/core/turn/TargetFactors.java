package org.oleandertrack.core.turn;

import java.util.ArrayList;
import java.util.List;

/**
 * The lasting factors by which the times of a service's targets differ from the service's times.
 * The median over the targets is the service's level, so that a change of all targets changes no
 * factor. Not thread-safe: the owner guards each instance with its own lock.
 */
final class TargetFactors {

    // A factor counts only if it is beyond this: twice the dead band of a service's times, because
    // a target's factor rests on few observations.
    private static final double MIN_LOG_FACTOR = Math.log(1.2);
    private static final double MAX_LOG_FACTOR = Math.log(4);
    // One observation never establishes a factor; two recent ones that agree do.
    private static final double MIN_WEIGHT = 1.25;
    // Ratio of the standard error of a median to the mean absolute deviation divided by the square
    // root of the number of observations, for a normal distribution (1.25 times 1.25).
    private static final double MEDIAN_ERROR = 1.57;
    private static final double MIN_STANDARD_ERRORS = 3.5;
    // With a larger fraction of the targets known to be faster or slower, the load of the others
    // differs from the mean of the service too.
    private static final double MANY_DIFFERENT_FRACTION = 0.2;
    // Weight of the newest observation in the mean deviation.
    private static final double DEVIATION_WEIGHT = 0.02;
    // Larger deviations, which are outliers, count as this much.
    private static final double MAX_DEVIATION = 1;
    // With more targets than this, the level is updated only after every eighth observation,
    // because it requires sorting.
    private static final int MANY_TARGETS = 64;
    private static final int MANY_TARGETS_INTERVAL = 8;

    private final int mWindowSize;
    private final List<RatioWindow> mWindows = new ArrayList<>();
    private double mDeviation;
    private double mLevel;
    private int mDifferentTargets;
    private int mRecorded;

    /**
     * Creates the factors of a service without targets.
     *
     * @param windowSize number of observations per target
     * @param initialDeviation assumed mean deviation of the logarithm of single observations
     */
    TargetFactors(int windowSize, double initialDeviation) {
        mWindowSize = windowSize;
        mDeviation = initialDeviation;
    }

    /** Adds a target, whose factor is 1 until it is observed. */
    RatioWindow add() {
        RatioWindow window = new RatioWindow(mWindowSize);
        mWindows.add(window);
        return window;
    }

    void remove(RatioWindow window) {
        mWindows.remove(window);
    }

    /** Returns the factor of a target; 1 unless it differs clearly from the service's level. */
    double factor(RatioWindow window, long nowNanos) {
        double weight = window.weight(nowNanos);
        if (weight < MIN_WEIGHT) {
            return 1;
        }
        double logFactor = window.median() - mLevel;
        double standardError = MEDIAN_ERROR * mDeviation / Math.sqrt(weight);
        double threshold = Math.max(MIN_LOG_FACTOR, MIN_STANDARD_ERRORS * standardError);
        return Math.abs(logFactor) < threshold
                ? 1
                : Math.exp(Math.clamp(logFactor, -MAX_LOG_FACTOR, MAX_LOG_FACTOR));
    }

    /**
     * Returns whether a target has had another factor than 1 after the last observation, or many
     * targets of the service have.
     */
    boolean differs(RatioWindow window) {
        return window.isDifferent()
                || mDifferentTargets > mWindows.size() * MANY_DIFFERENT_FRACTION;
    }

    /** Returns the mean logarithm of the ratios of the service. */
    double level() {
        return mLevel;
    }

    /** Returns whether a ratio is above the present one of its target. */
    boolean isAbove(RatioWindow window, double logRatio, long nowNanos) {
        return logRatio > (window.weight(nowNanos) < MIN_WEIGHT ? mLevel : window.median());
    }

    /**
     * Records an observation.
     *
     * @param logRatio logarithm of the observed time divided by a reference that is the same for
     *     all targets
     */
    void record(RatioWindow window, double logRatio, long nowNanos) {
        if (window.weight(nowNanos) >= MIN_WEIGHT) {
            double deviation = Math.min(MAX_DEVIATION, Math.abs(logRatio - window.median()));
            mDeviation += DEVIATION_WEIGHT * (deviation - mDeviation);
        }
        window.record(logRatio, nowNanos);
        mRecorded++;
        if (mWindows.size() <= MANY_TARGETS || mRecorded % MANY_TARGETS_INTERVAL == 0) {
            updateLevel();
            countDifferent(nowNanos);
        }
    }

    private void countDifferent(long nowNanos) {
        mDifferentTargets = 0;
        for (RatioWindow window : mWindows) {
            window.setDifferent(factor(window, nowNanos) != 1);
            mDifferentTargets += window.isDifferent() ? 1 : 0;
        }
    }

    // Old observations count, because those of the targets in use are newer than the others'.
    private void updateLevel() {
        double[] medians =
                mWindows.stream()
                        .filter(RatioWindow::hasObservations)
                        .mapToDouble(RatioWindow::median)
                        .sorted()
                        .toArray();
        if (medians.length > 0) {
            int middle = medians.length / 2;
            mLevel = (medians[middle] + medians[(medians.length - 1) / 2]) / 2;
        }
    }
}
