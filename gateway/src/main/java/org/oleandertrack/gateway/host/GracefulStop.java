package org.oleandertrack.gateway.host;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Waits until a stopping process has completed its calls, and ends those that are left shortly
 * before its grace period is over.
 */
final class GracefulStop {

    private static final long POLL_MILLIS = 50;

    private final StopSchedule mSchedule;
    private final Host mHost;
    private final long mStartNanos = System.nanoTime();

    /** The host that stops. */
    interface Host {

        /** Returns whether a call, or something that a call has left, is in progress. */
        boolean isBusy();

        /**
         * Refuses new calls. Called once, when the load balancer should have stopped sending new
         * connections.
         */
        void refuseNewCalls();

        /** Ends the calls in progress with a response, and closes each connection after it. */
        void endCalls();

        /** Returns whether a connection of a caller is open. */
        boolean isConnected();
    }

    /** Creates a graceful stop, whose grace period begins now. */
    GracefulStop(StopSchedule schedule, Host host) {
        mSchedule = schedule;
        mHost = host;
    }

    void awaitCompletion() {
        try {
            awaitWhile(() -> true, mSchedule.refuseMillis());
            mHost.refuseNewCalls();
            awaitWhile(mHost::isBusy, mSchedule.endCallsMillis());
            mHost.endCalls();
            awaitWhile(mHost::isConnected, mSchedule.exitMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitWhile(BooleanSupplier condition, long untilMillis)
            throws InterruptedException {
        while (elapsedMillis() < untilMillis && condition.getAsBoolean()) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
    }
}
