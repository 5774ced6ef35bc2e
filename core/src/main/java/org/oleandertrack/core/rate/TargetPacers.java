package org.oleandertrack.core.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Permits for targets that limit the rate of their requests. One instance permits as many requests
 * to a target as the target states; hosts that divide a rate need an instance for their part.
 * Thread-safe.
 */
public final class TargetPacers {

    private static final long IDLE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final RandomGenerator mRandom;
    private final Map<String, RequestPacer> mPacers = new HashMap<>();

    /**
     * Creates an instance that has not permitted any request yet.
     *
     * @param random draws the time of the first permit of each target
     */
    public TargetPacers(RandomGenerator random) {
        mRandom = random;
    }

    /** Permits a request, unless the target's rate makes it wait for too long. */
    public synchronized PermitResult take(PermitRequest request, long nowNanos) {
        long statedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(request.statedAgeMillis());
        RequestPacer pacer =
                mPacers.computeIfAbsent(
                        request.targetId(), id -> makePacer(request, statedNanos, nowNanos));
        pacer.setRate(request.requestsPerSecond(), statedNanos);
        return pacer.take(request.maxWaitMillis(), nowNanos);
    }

    /** Forgets targets for which no permit was requested for a while. To be called regularly. */
    public synchronized void dropIdle(long nowNanos) {
        mPacers.values().removeIf(pacer -> nowNanos - pacer.lastUsedNanos() > IDLE_RETENTION_NANOS);
    }

    // Several hosts may start to pace a target at the same moment, so each of them permits its
    // first request at a random time within one interval.
    private RequestPacer makePacer(PermitRequest request, long statedNanos, long nowNanos) {
        long intervalNanos = RequestPacer.intervalNanos(request.requestsPerSecond());
        return new RequestPacer(
                request.requestsPerSecond(),
                statedNanos,
                nowNanos + (long) (mRandom.nextDouble() * intervalNanos));
    }
}
