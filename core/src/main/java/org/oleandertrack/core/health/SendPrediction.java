package org.oleandertrack.core.health;

/**
 * What is predicted for the time from a send to the beginning of its response, as far as it is
 * known before the send: a fixed time, and a factor by which the rest is longer than usual.
 *
 * @param expectedNanos predicted time in nanoseconds; 0 if only the factor is known
 * @param factor ratio of the time beyond {@code expectedNanos} to the usual one
 */
public record SendPrediction(long expectedNanos, double factor) {

    // Predictions outside this range are placement's marks for waits and avoided targets, or come
    // from a single outlier.
    private static final double MIN_FACTOR = 0.5;
    private static final double MAX_FACTOR = 4;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns the prediction for a send whose time is known in milliseconds. */
    public static SendPrediction ofMillis(double expectedMillis) {
        return new SendPrediction((long) (expectedMillis * NANOS_PER_MILLI), 1);
    }

    /** Returns the prediction for a send that takes a multiple of the usual time of its route. */
    public static SendPrediction ofFactor(double factor) {
        return new SendPrediction(0, Math.clamp(factor, MIN_FACTOR, MAX_FACTOR));
    }

    /** Returns the time of a send with the given lateness. */
    long nanosWithLateness(long latenessNanos) {
        return expectedNanos + (long) (latenessNanos * factor);
    }

    /** Returns how much later than predicted a send was that took the given time. */
    long latenessNanos(long actualNanos) {
        return (long) ((actualNanos - expectedNanos) / factor);
    }
}
