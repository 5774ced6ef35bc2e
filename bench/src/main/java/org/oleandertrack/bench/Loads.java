package org.oleandertrack.bench;

import static org.oleandertrack.bench.VirtualClock.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws of arrivals and lengths. */
final class Loads {

    // Bursts of about 4 s at 2.5 times the mean rate, then about 12 s at half of it.
    private static final double BURST_RATE = 2.5;
    private static final double CALM_RATE = 0.5;
    private static final long BURST_NANOS = 4 * SECOND;
    private static final long CALM_NANOS = 12 * SECOND;

    private Loads() {}

    /** Draws bursty arrival times with the given mean rate. */
    static List<Long> arrivals(RandomGenerator random, double perSecond, long untilNanos) {
        List<Long> arrivals = new ArrayList<>();
        boolean burst = false;
        double now = 0;
        double phaseEnd = random.nextExponential() * CALM_NANOS;
        while (now < untilNanos) {
            double rate = perSecond * (burst ? BURST_RATE : CALM_RATE);
            double next = now + random.nextExponential() * SECOND / rate;
            if (next > phaseEnd) {
                now = phaseEnd;
                burst = !burst;
                phaseEnd += random.nextExponential() * (burst ? BURST_NANOS : CALM_NANOS);
            } else {
                now = next;
                if (now < untilNanos) {
                    arrivals.add((long) now);
                }
            }
        }
        return arrivals;
    }

    /** Draws from a log-normal distribution with the given median; at least 1. */
    static int logNormal(RandomGenerator random, double median, double sigma) {
        return (int) Math.max(1, median * Math.exp(sigma * random.nextGaussian()));
    }

    /** Draws from an exponential distribution with the given mean. */
    static long exponential(RandomGenerator random, long meanNanos) {
        return (long) (random.nextExponential() * meanNanos);
    }
}
