package org.oleandertrack.core.rate;

/**
 * Bounds the requests that one target takes over from targets of its service that limit their rate.
 * Without a bound its queue fills, and it resets connections of requests that it has not run, which
 * callers cannot tell from lost answers.
 */
public final class OverflowLimit {

    private static final double MAX_REQUESTS_PER_SLOT = 3;

    private OverflowLimit() {}

    /**
     * Returns whether a target must get no further request.
     *
     * @param requests estimated number of requests of all hosts at the target
     * @param slots number of requests that it runs at once
     */
    public static boolean isReached(double requests, int slots) {
        return requests >= MAX_REQUESTS_PER_SLOT * slots;
    }
}
