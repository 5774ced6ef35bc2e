package org.oleandertrack.standins.http;

import java.util.concurrent.TimeUnit;

/** Delays that simulate slow responses. */
public final class Pause {

    private Pause() {}

    /**
     * Blocks the calling thread; returns at once if the time is not positive.
     *
     * @throws ConnectionAbortException if the thread is interrupted
     */
    public static void sleepMillis(long millis) throws ConnectionAbortException {
        if (millis <= 0) {
            return;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConnectionAbortException("interrupted during a simulated delay");
        }
    }
}
