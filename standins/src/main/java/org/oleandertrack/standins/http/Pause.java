package org.oleandertrack.standins.http;

import java.util.concurrent.TimeUnit;

/** Delays that simulate slow answers. */
public final class Pause {

    private Pause() {}

    /**
     * Blocks the calling thread.
     *
     * @throws ConnectionAbortException if the thread is interrupted
     */
    public static void millis(long millis) throws ConnectionAbortException {
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
