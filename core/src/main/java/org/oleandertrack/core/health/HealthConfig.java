package org.oleandertrack.core.health;

/**
 * Settings of {@link HealthTracker}. Immutable.
 *
 * @param slowRatio ratio of a target's time per token to the median of all targets above which the
 *     target is slow; greater than {@code recoveredRatio}
 * @param recoveredRatio ratio at or below which a target that was set aside is used again; at least
 *     1
 * @param minObservations number of observations of a target before it is judged; positive
 * @param consecutiveFailures number of consecutive failures after which a target is failing;
 *     positive
 * @param failingFraction fraction of the most recent calls (about five) that must fail for a target
 *     to be failing even if the other calls succeed; above 0 and at most 1; with 1 practically only
 *     consecutive failures count
 * @param firstProbeNanos time from setting a target aside to its first probe, in nanoseconds;
 *     doubled after each probe that finds no recovery; positive
 * @param maxProbeNanos largest time between probes, in nanoseconds; at least {@code
 *     firstProbeNanos}
 * @param maxObservationAgeNanos age above which an observation is ignored, in nanoseconds; positive
 * @param minEvaluationIntervalNanos shortest time between evaluations that observations trigger, in
 *     nanoseconds
 */
public record HealthConfig(
        double slowRatio,
        double recoveredRatio,
        int minObservations,
        int consecutiveFailures,
        double failingFraction,
        long firstProbeNanos,
        long maxProbeNanos,
        long maxObservationAgeNanos,
        long minEvaluationIntervalNanos) {

    private static final long MILLISECOND = 1_000_000;
    private static final long SECOND = 1_000 * MILLISECOND;

    /** The defaults. */
    public static final HealthConfig DEFAULT =
            new HealthConfig(2.0, 1.5, 2, 3, 1, SECOND, 16 * SECOND, 60 * SECOND, 50 * MILLISECOND);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public HealthConfig {
        if (recoveredRatio < 1 || slowRatio <= recoveredRatio) {
            throw new IllegalArgumentException(
                    "slowRatio must exceed recoveredRatio, which must be at least 1: slowRatio "
                            + slowRatio
                            + ", recoveredRatio "
                            + recoveredRatio);
        }
        if (minObservations <= 0 || consecutiveFailures <= 0) {
            throw new IllegalArgumentException(
                    "a number is not positive: minObservations "
                            + minObservations
                            + ", consecutiveFailures "
                            + consecutiveFailures);
        }
        if (failingFraction <= 0 || failingFraction > 1) {
            throw new IllegalArgumentException(
                    "failingFraction is not above 0 and at most 1: " + failingFraction);
        }
        if (firstProbeNanos <= 0
                || maxProbeNanos < firstProbeNanos
                || maxObservationAgeNanos <= 0) {
            throw new IllegalArgumentException(
                    "probe times or maxObservationAgeNanos out of range: firstProbeNanos "
                            + firstProbeNanos
                            + ", maxProbeNanos "
                            + maxProbeNanos
                            + ", maxObservationAgeNanos "
                            + maxObservationAgeNanos);
        }
    }

    /** Returns a copy with other times to the first probe and between probes, in nanoseconds. */
    public HealthConfig withProbes(long firstNanos, long maxNanos) {
        return new HealthConfig(
                slowRatio,
                recoveredRatio,
                minObservations,
                consecutiveFailures,
                failingFraction,
                firstNanos,
                maxNanos,
                maxObservationAgeNanos,
                minEvaluationIntervalNanos);
    }

    /** Returns a copy with another number of consecutive failures and another failing fraction. */
    public HealthConfig withFailures(int consecutive, double fraction) {
        return new HealthConfig(
                slowRatio,
                recoveredRatio,
                minObservations,
                consecutive,
                fraction,
                firstProbeNanos,
                maxProbeNanos,
                maxObservationAgeNanos,
                minEvaluationIntervalNanos);
    }
}
