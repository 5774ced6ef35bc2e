package org.oleandertrack.core.placement;

/**
 * Settings of {@link Placement}. Immutable.
 *
 * @param choices number of targets drawn at random and compared, besides the one with the prefix;
 *     positive
 * @param prefillNanosPerToken time to compute a prompt token, in nanoseconds; not negative
 */
public record PlacementConfig(int choices, long prefillNanosPerToken) {

    /** Four choices and 10,000 prompt tokens per second. */
    public static final PlacementConfig DEFAULT = new PlacementConfig(4, 100_000);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public PlacementConfig {
        if (choices <= 0 || prefillNanosPerToken < 0) {
            throw new IllegalArgumentException(
                    "choices " + choices + ", prefillNanosPerToken " + prefillNanosPerToken);
        }
    }

    /** Returns a copy with another number of choices. */
    public PlacementConfig withChoices(int number) {
        return new PlacementConfig(number, prefillNanosPerToken);
    }

    /** Returns a copy with another prefill time, in nanoseconds per token. */
    public PlacementConfig withPrefillNanosPerToken(long nanos) {
        return new PlacementConfig(choices, nanos);
    }
}
