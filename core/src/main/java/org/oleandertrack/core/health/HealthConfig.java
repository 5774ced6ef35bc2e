package org.oleandertrack.core.health;

/**
 * Settings of {@link HealthTracker}. Immutable.
 *
 * @param slowRatio time per token, as a ratio to the median of the peers, above which a target is
 *     slow; greater than {@code recoveredRatio}
 * @param recoveredRatio ratio below which a target that was set aside is used again; at least 1
 * @param minObservations observations of a target before it is judged; positive
 * @param failuresInRow failures without a success in between after which a target is failing;
 *     positive
 * @param failingPart part of the last calls, about five, whose failure makes a target failing even
 *     if others succeed; 1 to go by failures in a row alone
 * @param firstProbeNanos time from setting a target aside to its first probe, in nanoseconds;
 *     doubled after each probe that finds no recovery; positive
 * @param maxProbeNanos largest time between probes, in nanoseconds
 * @param staleNanos age after which an observation no longer counts, in nanoseconds; positive
 * @param evaluationNanos shortest time between evaluations of all targets, in nanoseconds
 */
public record HealthConfig(
        double slowRatio,
        double recoveredRatio,
        int minObservations,
        int failuresInRow,
        double failingPart,
        long firstProbeNanos,
        long maxProbeNanos,
        long staleNanos,
        long evaluationNanos) {

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
                    "slowRatio " + slowRatio + ", recoveredRatio " + recoveredRatio);
        }
        if (minObservations <= 0 || failuresInRow <= 0) {
            throw new IllegalArgumentException(
                    "minObservations " + minObservations + ", failuresInRow " + failuresInRow);
        }
        if (failingPart <= 0 || failingPart > 1) {
            throw new IllegalArgumentException("failingPart " + failingPart);
        }
        if (firstProbeNanos <= 0 || maxProbeNanos < firstProbeNanos || staleNanos <= 0) {
            throw new IllegalArgumentException(
                    "firstProbeNanos "
                            + firstProbeNanos
                            + ", maxProbeNanos "
                            + maxProbeNanos
                            + ", staleNanos "
                            + staleNanos);
        }
    }

    /** Returns a copy with other probe times, in nanoseconds. */
    public HealthConfig withProbes(long first, long max) {
        return new HealthConfig(
                slowRatio,
                recoveredRatio,
                minObservations,
                failuresInRow,
                failingPart,
                first,
                max,
                staleNanos,
                evaluationNanos);
    }

    /** Returns a copy with other bounds for failures. */
    public HealthConfig withFailures(int inRow, double part) {
        return new HealthConfig(
                slowRatio,
                recoveredRatio,
                minObservations,
                inRow,
                part,
                firstProbeNanos,
                maxProbeNanos,
                staleNanos,
                evaluationNanos);
    }
}
