package org.oleandertrack.core.organisation;

/**
 * The time after which a revoked key must have no effect at any host, and the times that follow
 * from it. With the usual bound of 5 s, answers of the store are 1.5 s apart and at most 3 s old,
 * peers are asked after 2 s without one, and keys count for 4.9 s.
 *
 * @param millis the bound, in milliseconds
 */
public record RevocationBound(long millis) {

    // Covers the rounding of both clocks and the time between the check and the send.
    private static final long MARGIN_MILLIS = 100;
    // Short enough that a connection that no longer delivers data is noticed within two seconds.
    private static final long MAX_ANSWER_INTERVAL_MILLIS = 1_500;
    private static final long MAX_SILENCE_MILLIS = 2_000;
    private static final long MAX_USUAL_AGE_MILLIS = 3_500;

    /** Returns the longest time between two answers of the store while it is available. */
    public long answerIntervalMillis() {
        return Math.min(MAX_ANSWER_INTERVAL_MILLIS, millis * 3 / 10);
    }

    /** Returns the time without an answer of the store after which peers are asked. */
    public long maxSilenceMillis() {
        return Math.min(MAX_SILENCE_MILLIS, millis * 4 / 10);
    }

    /** Returns an age that knowledge does not reach while the store is available. */
    public long maxUsualAgeMillis() {
        return Math.min(MAX_USUAL_AGE_MILLIS, millis * 7 / 10);
    }

    /** Returns the age from which knowledge of the configuration is too old for a key. */
    public long maxAgeMillis() {
        return millis - MARGIN_MILLIS;
    }
}
