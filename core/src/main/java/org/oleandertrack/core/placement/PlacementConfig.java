package org.oleandertrack.core.placement;

/**
 * Settings of {@link Placement}. Immutable.
 *
 * @param choices number of targets drawn at random and compared, in addition to the one that holds
 *     the prefix; positive
 * @param prefillNanosPerToken time to compute a prompt token, in nanoseconds; not negative
 * @param prefillWeight factor by which time spent on computing prompt tokens again counts more than
 *     time spent waiting, because it also delays the other calls of the target; at least 1
 */
public record PlacementConfig(int choices, long prefillNanosPerToken, int prefillWeight) {

    /** The defaults: 4 choices, 10,000 prompt tokens per second and a prefill weight of 3. */
    public static final PlacementConfig DEFAULT = new PlacementConfig(4, 100_000, 3);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public PlacementConfig {
        if (choices <= 0 || prefillNanosPerToken < 0 || prefillWeight < 1) {
            throw new IllegalArgumentException(
                    "choices "
                            + choices
                            + ", prefillNanosPerToken "
                            + prefillNanosPerToken
                            + ", prefillWeight "
                            + prefillWeight);
        }
    }

    /** Returns a copy with another number of choices. */
    public PlacementConfig withChoices(int number) {
        return new PlacementConfig(number, prefillNanosPerToken, prefillWeight);
    }

    /** Returns a copy with another prefill time, in nanoseconds per token. */
    public PlacementConfig withPrefillNanosPerToken(long nanos) {
        return new PlacementConfig(choices, nanos, prefillWeight);
    }

    /** Returns a copy with another weight of the prefill time. */
    public PlacementConfig withPrefillWeight(int weight) {
        return new PlacementConfig(choices, prefillNanosPerToken, weight);
    }
}
