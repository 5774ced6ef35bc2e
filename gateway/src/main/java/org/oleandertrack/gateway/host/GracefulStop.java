package org.oleandertrack.gateway.host;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Waits until a process that stops has served what it has taken on. */
final class GracefulStop {

    // The load balancer asks once a second and stops sending after two refusals.
    private static final long NOTICED_MILLIS = 2_600;
    // Left of the grace period for closing connections and ending the process.
    private static final long EXIT_MILLIS = 600;
    private static final long POLL_MILLIS = 50;

    private final long mGraceMillis;
    private final IntSupplier mBusy;

    /**
     * Creates a wait.
     *
     * @param busy number of connections with a call under way
     */
    GracefulStop(long graceMillis, IntSupplier busy) {
        mGraceMillis = graceMillis;
        mBusy = busy;
    }

    void await() {
        long startNanos = System.nanoTime();
        try {
            while (true) {
                long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                boolean served = passedMillis >= NOTICED_MILLIS && mBusy.getAsInt() == 0;
                if (served || passedMillis >= mGraceMillis - EXIT_MILLIS) {
                    return;
                }
                Thread.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
