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
    private final Runnable mRefuseNew;

    /**
     * Creates a wait.
     *
     * @param busy number of connections with a call under way
     * @param refuseNew called once when the load balancer has moved on; from then on a new call
     *     might not end within the grace period
     */
    GracefulStop(long graceMillis, IntSupplier busy, Runnable refuseNew) {
        mGraceMillis = graceMillis;
        mBusy = busy;
        mRefuseNew = refuseNew;
    }

    void await() {
        long startNanos = System.nanoTime();
        boolean refusing = false;
        try {
            while (true) {
                long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                if (!refusing && passedMillis >= Math.min(NOTICED_MILLIS, mGraceMillis / 2)) {
                    refusing = true;
                    mRefuseNew.run();
                }
                boolean served = refusing && mBusy.getAsInt() == 0;
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
