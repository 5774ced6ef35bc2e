package org.oleandertrack.core.health;

/**
 * Tells a target that hangs, or that has lost an answer, from one that is only late. Answers
 * targets that accept requests and never answer, at loads at which sound ones are slow too.
 */
public final class SilenceRule {

    // Callers give up a silent stream after two seconds and more, a lookup after two.
    private static final long MIN_LIMIT_MILLIS = 900;
    private static final long MAX_LIMIT_MILLIS = 1_500;
    // A request takes this much longer than predicted only on a target that is in trouble.
    private static final long USUAL_FACTOR = 4;
    // A target that is known to be slow gets this much longer than predicted at least.
    private static final double SLOW_FACTOR = 1.5;

    private SilenceRule() {}

    /**
     * Returns how long a target may be silent, in milliseconds, if its load does not explain it.
     */
    public static long limitMillis(long predictedMillis) {
        long longest = Math.max(MAX_LIMIT_MILLIS, (long) (SLOW_FACTOR * predictedMillis));
        return Math.clamp(USUAL_FACTOR * predictedMillis, MIN_LIMIT_MILLIS, longest);
    }

    /**
     * Returns whether a request is to be given up.
     *
     * @param quietMillis time without any sign of the request
     * @param predictedMillis predicted time of the request at the target; 0 if unknown
     * @param hasRoom whether the target has slots free, as far as is known
     * @param heardSince whether the target has answered anything since the request was sent
     */
    public static boolean isStalled(
            long quietMillis, long predictedMillis, boolean hasRoom, boolean heardSince) {
        if (quietMillis < limitMillis(predictedMillis)) {
            return false;
        }
        // A full target is late with all its requests, but not silent.
        return hasRoom || (!heardSince && quietMillis >= MAX_LIMIT_MILLIS);
    }
}
