package org.oleandertrack.gateway.host;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Waits until a stopping process has completed its calls, or its grace period is almost over. */
final class GracefulStop {

    // The load balancer checks readiness once a second and sends no new connections after two
    // negative responses.
    private static final long LOAD_BALANCER_DELAY_MILLIS = 2_600;
    // Reserved at the end of the grace period to close the connections and exit.
    private static final long EXIT_RESERVE_MILLIS = 600;
    private static final long POLL_MILLIS = 50;

    private final long mGraceMillis;
    private final IntSupplier mBusyConnectionCount;
    private final Runnable mRefuseNewCalls;

    /**
     * Creates a graceful stop, which begins when {@link #awaitCompletion} is called.
     *
     * @param busyConnectionCount returns the number of connections with a call in progress
     * @param refuseNewCalls called once, when the load balancer should have stopped sending new
     *     connections; a call that starts later might not end within the grace period
     */
    GracefulStop(long graceMillis, IntSupplier busyConnectionCount, Runnable refuseNewCalls) {
        mGraceMillis = graceMillis;
        mBusyConnectionCount = busyConnectionCount;
        mRefuseNewCalls = refuseNewCalls;
    }

    void awaitCompletion() {
        long startNanos = System.nanoTime();
        boolean refusing = false;
        try {
            while (true) {
                long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                if (!refusing
                        && elapsedMillis
                                >= Math.min(LOAD_BALANCER_DELAY_MILLIS, mGraceMillis / 2)) {
                    refusing = true;
                    mRefuseNewCalls.run();
                }
                boolean allCallsEnded = refusing && mBusyConnectionCount.getAsInt() == 0;
                if (allCallsEnded || elapsedMillis >= mGraceMillis - EXIT_RESERVE_MILLIS) {
                    return;
                }
                Thread.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
