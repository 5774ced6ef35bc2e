package org.oleandertrack.coordination.commit;

/** Limits the rate of table transactions with a token bucket. Not thread safe. */
final class CommitRateLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double mTokensPerNano;
    private final double mBurst;
    private double mTokens;
    private long mUpdatedNanos;

    CommitRateLimiter(int perSecond, int burst, long nowNanos) {
        mTokensPerNano = perSecond / NANOS_PER_SECOND;
        mBurst = burst;
        mTokens = burst;
        mUpdatedNanos = nowNanos;
    }

    /** Returns the time until a transaction is allowed; 0 if it is allowed now. */
    long waitNanos(long nowNanos) {
        refill(nowNanos);
        return mTokens >= 1 ? 0 : (long) Math.ceil((1 - mTokens) / mTokensPerNano);
    }

    /**
     * Takes one token. Retries take it without waiting, so the number of tokens may fall below
     * zero, which delays new batches.
     */
    void take(long nowNanos) {
        refill(nowNanos);
        mTokens -= 1;
    }

    private void refill(long nowNanos) {
        mTokens = Math.min(mBurst, mTokens + (nowNanos - mUpdatedNanos) * mTokensPerNano);
        mUpdatedNanos = nowNanos;
    }
}
