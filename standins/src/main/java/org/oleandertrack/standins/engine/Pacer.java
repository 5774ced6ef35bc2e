package org.oleandertrack.standins.engine;

import java.util.concurrent.TimeUnit;

/**
 * Spaces the steps of one request. A step that comes late shortens the wait for the next one, so
 * that the rate holds on average. Used by one thread.
 */
final class Pacer {

    private static final double NANOS_PER_SECOND = 1e9;

    private long mDueNanos = System.nanoTime();

    /** Starts over from now, after a time in which the request made no progress. */
    void restart() {
        mDueNanos = System.nanoTime();
    }

    /** Waits for the time that a number of tokens takes; a rate of 0 means no time. */
    void await(long tokens, double tokensPerSecond, double slowFactor) throws InterruptedException {
        if (tokensPerSecond <= 0) {
            return;
        }
        mDueNanos += (long) ((double) tokens / tokensPerSecond * slowFactor * NANOS_PER_SECOND);
        long waitNanos = mDueNanos - System.nanoTime();
        if (waitNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(waitNanos);
        }
    }
}
