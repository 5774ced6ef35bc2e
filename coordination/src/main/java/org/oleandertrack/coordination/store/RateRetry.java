package org.oleandertrack.coordination.store;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Pauses before a call that was refused for the store's rate is made again. All hosts are refused
 * at the same time, so the pauses are spread and grow with each refusal.
 */
public final class RateRetry {

    // The store takes more calls as soon as its rate allows; at most a second's worth waits in it.
    private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final int MAX_DOUBLINGS = 3;

    /**
     * Time after a refusal within which the call has been made again and the store has answered it.
     * Longer than the longest pause.
     */
    public static final long ANSWERED_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private RateRetry() {}

    /**
     * Returns the length of a pause, between half and all of 40, 80, 160 and then 320 ms.
     *
     * @param earlierRefusals number of refusals of the same call before the last one
     */
    public static long pauseNanos(int earlierRefusals, RandomGenerator random) {
        long longestNanos = FIRST_PAUSE_NANOS << Math.min(earlierRefusals, MAX_DOUBLINGS);
        return longestNanos / 2 + random.nextLong(longestNanos / 2 + 1);
    }
}
