package org.oleandertrack.standins.engine;

import java.util.concurrent.TimeUnit;

/**
 * Paces the prefill and generation of one request to a token rate. A delay in one step shortens the
 * wait for the next one, so that the average rate is kept. Used by one thread.
 */
final class Pacer {

    private static final double NANOS_PER_SECOND = 1e9;

    private long mDueNanos = System.nanoTime();

    /** Restarts pacing at the current time, so that the rate does not rise after a hang. */
    void restart() {
        mDueNanos = System.nanoTime();
    }

    /** Waits until the given number of tokens is due; a rate of 0 means no wait. */
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
