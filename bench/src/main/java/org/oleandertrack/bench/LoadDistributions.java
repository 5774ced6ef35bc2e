package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws random arrival times, lengths and pauses of a load. */
final class LoadDistributions {

    // Arrivals alternate between bursts, which last 4 s on average and have 2.5 times the mean
    // arrival rate, and calm phases, which last 12 s on average and have half the mean rate.
    private static final double BURST_RATE_FACTOR = 2.5;
    private static final double CALM_RATE_FACTOR = 0.5;
    private static final long MEAN_BURST_NANOS = 4 * SECOND;
    private static final long MEAN_CALM_NANOS = 12 * SECOND;

    private LoadDistributions() {}

    /** Draws bursty arrival times in nanoseconds, with the given mean number per second. */
    static List<Long> drawArrivals(
            RandomGenerator random, double arrivalsPerSecond, long untilNanos) {
        List<Long> arrivals = new ArrayList<>();
        boolean isBurst = false;
        double nowNanos = 0;
        double phaseEndNanos = random.nextExponential() * MEAN_CALM_NANOS;
        while (nowNanos < untilNanos) {
            double currentArrivalsPerSecond =
                    arrivalsPerSecond * (isBurst ? BURST_RATE_FACTOR : CALM_RATE_FACTOR);
            double nextNanos =
                    nowNanos + random.nextExponential() * SECOND / currentArrivalsPerSecond;
            if (nextNanos > phaseEndNanos) {
                nowNanos = phaseEndNanos;
                isBurst = !isBurst;
                phaseEndNanos +=
                        random.nextExponential() * (isBurst ? MEAN_BURST_NANOS : MEAN_CALM_NANOS);
            } else {
                nowNanos = nextNanos;
                if (nowNanos < untilNanos) {
                    arrivals.add((long) nowNanos);
                }
            }
        }
        return arrivals;
    }

    /**
     * Draws from a log-normal distribution, rounded down and at least 1.
     *
     * @param sigma standard deviation of the logarithm
     */
    static int drawLogNormal(RandomGenerator random, double median, double sigma) {
        return (int) Math.max(1, median * Math.exp(sigma * random.nextGaussian()));
    }

    /** Draws a duration in nanoseconds from an exponential distribution with the given mean. */
    static long drawExponential(RandomGenerator random, long meanNanos) {
        return (long) (random.nextExponential() * meanNanos);
    }
}
