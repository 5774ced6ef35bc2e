package org.oleandertrack.core.rate;

import java.util.concurrent.TimeUnit;

/**
 * Spaces the requests to one target so that they keep to its rate, and assigns each of them the
 * earliest free time. A target that was idle accepts a small burst. Not thread-safe.
 */
public final class RequestPacer {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    // Requests of this time may be sent at once after an idle time.
    private static final double BURST_SECONDS = 0.25;
    // A target states in its responses when it accepts more again, so it always gets some requests.
    private static final double MIN_REQUESTS_PER_SECOND = 0.2;

    private double mRequestsPerSecond;
    private long mStatedNanos;
    private long mNextNanos;
    private long mLastUsedNanos;

    /**
     * Creates a pacer that has not assigned any time yet.
     *
     * @param statedNanos when the target stated the rate
     * @param firstNanos earliest time of the first request
     */
    public RequestPacer(double requestsPerSecond, long statedNanos, long firstNanos) {
        mRequestsPerSecond = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
        mStatedNanos = statedNanos;
        mNextNanos = firstNanos;
        mLastUsedNanos = firstNanos;
    }

    /** Returns the time between two requests at the given rate. */
    static long intervalNanos(double requestsPerSecond) {
        return (long) (NANOS_PER_SECOND / Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond));
    }

    long lastUsedNanos() {
        return mLastUsedNanos;
    }

    /** Applies a rate, unless a later statement of the target is known. */
    public void setRate(double requestsPerSecond, long statedNanos) {
        if (statedNanos - mStatedNanos < 0) {
            return;
        }
        mRequestsPerSecond = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
        mStatedNanos = statedNanos;
    }

    /** Returns the time until a request may be sent, in milliseconds; 0 if it may be sent now. */
    public long waitMillis(long nowNanos) {
        long waitNanos = nextNanos(nowNanos) - nowNanos;
        return Math.max(0, Math.ceilDiv(waitNanos, TimeUnit.MILLISECONDS.toNanos(1)));
    }

    /** Assigns the earliest free time to a request, if it is not too late for it. */
    public PermitResult take(long maxWaitMillis, long nowNanos) {
        mLastUsedNanos = nowNanos;
        long waitMillis = waitMillis(nowNanos);
        if (waitMillis > maxWaitMillis) {
            return new PermitResult.Denied(waitMillis);
        }
        mNextNanos = nextNanos(nowNanos) + intervalNanos(mRequestsPerSecond);
        return new PermitResult.Granted(waitMillis);
    }

    private long nextNanos(long nowNanos) {
        long burstNanos =
                intervalNanos(mRequestsPerSecond) * (long) (mRequestsPerSecond * BURST_SECONDS);
        return Math.max(mNextNanos, nowNanos - burstNanos);
    }
}
