package org.oleandertrack.core.admission;

/**
 * Settings of {@link AdmissionControl}. Immutable.
 *
 * @param expectedServiceNanos initial value of the mean service time of a program, in nanoseconds;
 *     positive
 * @param expectedDurationNanos initial value of the mean duration of a program whose calls never
 *     wait, in nanoseconds; at least the expected service time
 * @param quantumNanos service time that an organisation of weight 1 gains in each round of {@link
 *     org.oleandertrack.core.queue.FairShares}, in nanoseconds; positive
 * @param recentRequestNanos time after its last request for admission during which an organisation
 *     counts as competing for capacity, in nanoseconds; positive
 */
public record AdmissionConfig(
        long expectedServiceNanos,
        long expectedDurationNanos,
        long quantumNanos,
        long recentRequestNanos) {

    private static final long SECOND = 1_000_000_000L;

    /** The defaults: programs with 10 s of service time and a duration of 15 s. */
    public static final AdmissionConfig DEFAULT =
            new AdmissionConfig(10 * SECOND, 15 * SECOND, 20 * SECOND, 10 * SECOND);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public AdmissionConfig {
        if (expectedServiceNanos <= 0 || expectedDurationNanos < expectedServiceNanos) {
            throw new IllegalArgumentException(
                    "expectedServiceNanos is not from 1 to expectedDurationNanos: "
                            + expectedServiceNanos
                            + ", expectedDurationNanos "
                            + expectedDurationNanos);
        }
        if (quantumNanos <= 0 || recentRequestNanos <= 0) {
            throw new IllegalArgumentException(
                    "a time is not positive: quantumNanos "
                            + quantumNanos
                            + ", recentRequestNanos "
                            + recentRequestNanos);
        }
    }
}
