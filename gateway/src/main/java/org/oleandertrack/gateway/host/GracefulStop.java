package org.oleandertrack.gateway.host;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Waits until a stopping process has completed its calls, or its grace period is almost over. */
final class GracefulStop {

    // The load balancer checks readiness once a second and sends no new connections after two
    // negative answers.
    private static final long LOAD_BALANCER_DELAY_MILLIS = 2_600;
    // Reserved at the end of the grace period to close the connections and exit.
    private static final long EXIT_RESERVE_MILLIS = 600;
    private static final long POLL_MILLIS = 50;

    private final long mGraceMillis;
    private final IntSupplier mBusyConnections;
    private final Runnable mRefuseNew;

    /**
     * Creates a stop that has not begun.
     *
     * @param busyConnections returns the number of connections with a call in progress
     * @param refuseNew called once, when the load balancer should have stopped sending new
     *     connections; a call that starts later might not end within the grace period
     */
    GracefulStop(long graceMillis, IntSupplier busyConnections, Runnable refuseNew) {
        mGraceMillis = graceMillis;
        mBusyConnections = busyConnections;
        mRefuseNew = refuseNew;
    }

    void awaitCompletion() {
        long startNanos = System.nanoTime();
        boolean refusing = false;
        try {
            while (true) {
                long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                if (!refusing
                        && passedMillis >= Math.min(LOAD_BALANCER_DELAY_MILLIS, mGraceMillis / 2)) {
                    refusing = true;
                    mRefuseNew.run();
                }
                boolean served = refusing && mBusyConnections.getAsInt() == 0;
                if (served || passedMillis >= mGraceMillis - EXIT_RESERVE_MILLIS) {
                    return;
                }
                Thread.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
