package org.oleandertrack.core.organisation.limit;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Assigns refused clients the times at which they return, so that they arrive at the rate of the
 * limit instead of all at once. Not thread-safe.
 */
final class ReturnSpread {

    // Clients obey a Retry-After only up to a third of their remaining time, so longer ones are
    // ignored by most.
    private static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final RandomGenerator mRandom;
    private boolean mStarted;
    private long mNextNanos;

    ReturnSpread(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Returns the time after which the next refused client should return, in milliseconds.
     *
     * @param earliestNanos time until a request may be admitted at all
     * @param intervalNanos time between two admissions
     */
    long nextMillis(long earliestNanos, long intervalNanos, long nowNanos) {
        long firstNanos = nowNanos + earliestNanos;
        long slotNanos = mStarted && mNextNanos - firstNanos > 0 ? mNextNanos : firstNanos;
        if (slotNanos - nowNanos > MAX_NANOS) {
            return TimeUnit.NANOSECONDS.toMillis(mRandom.nextLong(MAX_NANOS / 2, MAX_NANOS));
        }
        mStarted = true;
        mNextNanos = slotNanos + intervalNanos;
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(slotNanos - nowNanos));
    }
}
