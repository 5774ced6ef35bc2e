package org.oleandertrack.coordination.commit;

/** Token bucket of table transactions. Not thread safe. */
final class CommitAllowance {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double mTokensPerNano;
    private final double mBurst;
    private double mTokens;
    private long mUpdatedNanos;

    CommitAllowance(int perSecond, int burst, long nowNanos) {
        mTokensPerNano = perSecond / NANOS_PER_SECOND;
        mBurst = burst;
        mTokens = burst;
        mUpdatedNanos = nowNanos;
    }

    /** Returns the wait in nanoseconds until a transaction is allowed; 0 if it is allowed now. */
    long waitNanos(long nowNanos) {
        refill(nowNanos);
        return mTokens >= 1 ? 0 : (long) Math.ceil((1 - mTokens) / mTokensPerNano);
    }

    /** Uses one token. A retry may take the bucket below zero, which delays new batches. */
    void take(long nowNanos) {
        refill(nowNanos);
        mTokens -= 1;
    }

    private void refill(long nowNanos) {
        mTokens = Math.min(mBurst, mTokens + (nowNanos - mUpdatedNanos) * mTokensPerNano);
        mUpdatedNanos = nowNanos;
    }
}
