package org.oleandertrack.core.admission;

/**
 * Settings of {@link AdmissionControl}. Immutable.
 *
 * @param expectedServiceNanos service of a program until some have ended, in nanoseconds; positive
 * @param expectedDurationNanos duration of a program that never waits, until some have ended, in
 *     nanoseconds; at least the expected service
 * @param quantumNanos service that an organisation of weight 1 gains in a round of the deficit
 *     accounting, in nanoseconds; positive
 * @param recentNanos time for which an organisation that asked counts as one that wants capacity,
 *     in nanoseconds; positive
 */
public record AdmissionConfig(
        long expectedServiceNanos,
        long expectedDurationNanos,
        long quantumNanos,
        long recentNanos) {

    private static final long SECOND = 1_000_000_000L;

    /** The defaults: programs of 10 s of service within 15 s. */
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
                    "expectedServiceNanos "
                            + expectedServiceNanos
                            + ", expectedDurationNanos "
                            + expectedDurationNanos);
        }
        if (quantumNanos <= 0 || recentNanos <= 0) {
            throw new IllegalArgumentException(
                    "quantumNanos " + quantumNanos + ", recentNanos " + recentNanos);
        }
    }
}
