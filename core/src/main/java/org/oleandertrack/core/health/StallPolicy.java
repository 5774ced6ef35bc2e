package org.oleandertrack.core.health;

/**
 * Decides when a request without a response counts as stalled, that is, when its target probably
 * hangs or has lost the response and is not merely late. It detects targets that accept requests
 * and never respond, even at loads under which healthy targets respond slowly too.
 */
public final class StallPolicy {

    // The limits are below the callers' timeouts: two seconds for a lookup, two seconds or more for
    // a stream without events.
    private static final long MIN_LIMIT_MILLIS = 900;
    private static final long MAX_LIMIT_MILLIS = 1_500;
    // Only an unhealthy target takes more than this multiple of the predicted time.
    private static final long HEALTHY_FACTOR = 4;
    // A target that is known to be slow may take at least this multiple of the predicted time.
    private static final double SLOW_TARGET_FACTOR = 1.5;
    // The response to a single request may be lost although its target does not hang.
    private static final int MIN_UNANSWERED_REQUESTS = 2;

    private StallPolicy() {}

    /**
     * Returns the time without a response after which a request is stalled if the load of its
     * target does not explain the delay, in milliseconds.
     *
     * @param predictedMillis predicted time of the request at the target, in milliseconds; 0 if
     *     unknown
     */
    public static long maxSilenceMillis(long predictedMillis) {
        long maxLimitMillis =
                Math.max(MAX_LIMIT_MILLIS, (long) (SLOW_TARGET_FACTOR * predictedMillis));
        return Math.clamp(HEALTHY_FACTOR * predictedMillis, MIN_LIMIT_MILLIS, maxLimitMillis);
    }

    /**
     * Returns whether a request is stalled and has to be given up.
     *
     * @param silentMillis time without any response data for the request, in milliseconds
     * @param predictedMillis predicted time of the request at the target, in milliseconds; 0 if
     *     unknown
     * @param hasFreeSlots whether the target has free slots, as far as is known
     * @param hasRespondedSince whether the target has responded to any request since this one was
     *     sent
     */
    public static boolean isStalled(
            long silentMillis,
            long predictedMillis,
            boolean hasFreeSlots,
            boolean hasRespondedSince) {
        if (silentMillis < maxSilenceMillis(predictedMillis)) {
            return false;
        }
        // A target without free slots is late with all its requests but still responds to some of
        // them.
        return hasFreeSlots || (!hasRespondedSince && silentMillis >= MAX_LIMIT_MILLIS);
    }

    /**
     * Returns whether a stalled request that was sent to its target again has to be given up before
     * {@link #maxSilenceMillis}, because other requests show that the target hangs.
     *
     * @param hasData whether the target has sent data for the request since it was sent again
     * @param unansweredRequests stalled requests of the target since its last response, this one
     *     included
     */
    public static boolean isRepeatStalled(boolean hasData, int unansweredRequests) {
        return !hasData && unansweredRequests >= MIN_UNANSWERED_REQUESTS;
    }
}
