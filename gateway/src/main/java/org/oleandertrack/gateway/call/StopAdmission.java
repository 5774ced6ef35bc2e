package org.oleandertrack.gateway.call;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.core.traffic.Route;

/**
 * Decides which calls a stopping process takes and sends. A call is left to another host if it may
 * still be in progress when the process ends its calls and the caller could lose by that.
 * Thread-safe.
 */
public final class StopAdmission {

    private final LongSupplier mNanoClock;
    private volatile OptionalLong mEndNanos = OptionalLong.empty();
    private volatile boolean mClosed;

    /** Creates an admission that takes all calls until a stop begins. */
    public StopAdmission(LongSupplier nanoClock) {
        mNanoClock = nanoClock;
    }

    /** Begins a stop that ends the calls in progress after the given time. */
    public void beginStop(long untilEndMillis) {
        mEndNanos =
                OptionalLong.of(
                        mNanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(untilEndMillis));
    }

    /** Takes no new calls from now on. Calls that were taken may still be sent. */
    public void close() {
        mClosed = true;
    }

    /** Returns whether a stop has begun. */
    boolean isStopping() {
        return mEndNanos.isPresent();
    }

    /** Returns whether no new calls are taken. */
    boolean isClosed() {
        return mClosed;
    }

    /**
     * Returns whether a call may be sent to a target.
     *
     * @param remainingMillis time until the call ends at the latest
     */
    boolean maySend(Route route, long remainingMillis) {
        OptionalLong endNanos = mEndNanos;
        return endNanos.isEmpty()
                || neededMillis(route, remainingMillis) <= millisUntil(endNanos.getAsLong());
    }

    // A safe request that is ended early can be repeated without harm, so it needs only the time
    // that it should take. The objective of a stream says nothing about its end.
    private static long neededMillis(Route route, long remainingMillis) {
        return route.kind() == RequestKind.SAFE
                ? Math.min(route.latencyObjectiveMillis(), remainingMillis)
                : remainingMillis;
    }

    private long millisUntil(long endNanos) {
        return TimeUnit.NANOSECONDS.toMillis(endNanos - mNanoClock.getAsLong());
    }
}
