package org.oleandertrack.coordination.pacing;

/**
 * Rates that the store takes from all hosts together.
 *
 * @param writesPerSecond transactions per second
 * @param partWritesPerSecond transactions per second in one part
 */
public record StoreLimits(double writesPerSecond, double partWritesPerSecond) {

    /** Rejects rates that are not positive. */
    public StoreLimits {
        if (!(writesPerSecond > 0) || !(partWritesPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "rates of the store must be positive: "
                            + writesPerSecond
                            + ", "
                            + partWritesPerSecond);
        }
    }
}
