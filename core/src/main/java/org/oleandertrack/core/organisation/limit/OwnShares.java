package org.oleandertrack.core.organisation.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.oleandertrack.core.organisation.RequestLimit;

/**
 * The permits that this host issues to itself while it reaches no issuer: an even share of the rate
 * of each organisation, without a burst. Thread-safe.
 */
public final class OwnShares {

    private static final long IDLE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final RandomGenerator mRandom;
    private final Map<String, Share> mShares = new HashMap<>();

    /**
     * Creates an instance without permits.
     *
     * @param random spreads the returns of refused clients
     */
    public OwnShares(RandomGenerator random) {
        mRandom = random;
    }

    /** Decides on a permit; the first one accrues from the first request on. */
    public synchronized IssueResult issue(
            String organisation, RequestLimit limit, int hostCount, long nowNanos) {
        double permitsPerSecond = limit.requestsPerSecond() / Math.max(1, hostCount);
        Share share =
                mShares.computeIfAbsent(
                        organisation, name -> new Share(permitsPerSecond, mRandom, nowNanos));
        share.mLastUsedNanos = nowNanos;
        share.mTokens.configure(permitsPerSecond, 1, nowNanos);
        if (share.mTokens.tryTake(0, nowNanos)) {
            return new IssueResult.Granted();
        }
        long waitNanos = share.mTokens.waitNanos(0, nowNanos);
        long intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) / permitsPerSecond);
        return new IssueResult.Denied(
                DenialReason.OWN_SHARE,
                share.mTokens.tokens(nowNanos),
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(waitNanos)),
                share.mReturns.nextMillis(waitNanos, intervalNanos, nowNanos),
                IssueResult.Programs.NONE);
    }

    /** Forgets idle organisations. To be called regularly. */
    public synchronized void dropIdle(long nowNanos) {
        mShares.values().removeIf(share -> nowNanos - share.mLastUsedNanos > IDLE_RETENTION_NANOS);
    }

    /** Share of one organisation's rate. */
    private static final class Share {
        private final TokenBucket mTokens;
        private final ReturnSpread mReturns;
        private long mLastUsedNanos;

        Share(double permitsPerSecond, RandomGenerator random, long nowNanos) {
            mTokens = new TokenBucket(permitsPerSecond, 1, nowNanos);
            mReturns = new ReturnSpread(random);
        }
    }
}
