package org.oleandertrack.gateway.peer;

import java.util.concurrent.TimeUnit;

/**
 * Time for which no permits are requested from a peer after it did not respond. It doubles with
 * each failure in a row, because each of them delays a caller's request. Thread-safe.
 */
final class PermitBackoff {

    private static final long FIRST_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DOUBLINGS = 3;

    private int mFailures;
    private long mEndNanos;

    synchronized boolean hasEnded(long nowNanos) {
        return mFailures == 0 || nowNanos - mEndNanos >= 0;
    }

    /**
     * Records the end of a request for a permit.
     *
     * @param failure the failure; null if the peer responded
     */
    synchronized void record(Throwable failure, long nowNanos) {
        if (failure == null) {
            mFailures = 0;
            return;
        }
        if (!hasEnded(nowNanos)) {
            return;
        }
        mEndNanos = nowNanos + (FIRST_NANOS << Math.min(mFailures, MAX_DOUBLINGS));
        mFailures++;
    }
}
