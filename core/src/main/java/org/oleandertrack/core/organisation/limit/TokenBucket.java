package org.oleandertrack.core.organisation.limit;

import java.util.concurrent.TimeUnit;

/**
 * Tokens that accrue at a rate up to a capacity. Rate and capacity may change between calls. Not
 * thread-safe.
 */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private double mTokensPerSecond;
    private double mCapacity;
    private double mTokens;
    private long mUpdatedNanos;

    /** Creates an empty bucket. */
    TokenBucket(double tokensPerSecond, double capacity, long nowNanos) {
        mTokensPerSecond = tokensPerSecond;
        mCapacity = capacity;
        mUpdatedNanos = nowNanos;
    }

    /** Adds the tokens of the elapsed time at the old rate, then applies the new values. */
    void configure(double tokensPerSecond, double capacity, long nowNanos) {
        update(nowNanos);
        mTokensPerSecond = tokensPerSecond;
        mCapacity = capacity;
        mTokens = Math.min(mTokens, capacity);
    }

    double tokens(long nowNanos) {
        update(nowNanos);
        return mTokens;
    }

    double capacity() {
        return mCapacity;
    }

    boolean isFull(long nowNanos) {
        return tokens(nowNanos) >= mCapacity;
    }

    /** Takes a token if at least the given number remain afterwards. */
    boolean tryTake(double reserve, long nowNanos) {
        update(nowNanos);
        if (mTokens < 1 + reserve) {
            return false;
        }
        mTokens--;
        return true;
    }

    /** Adds tokens, up to the capacity. */
    void add(double tokens, long nowNanos) {
        update(nowNanos);
        mTokens = Math.min(mCapacity, mTokens + tokens);
    }

    /**
     * Removes all tokens; new ones accrue from the given time on, or from a later one set before.
     */
    void empty(long fromNanos) {
        mTokens = 0;
        mUpdatedNanos = mUpdatedNanos - fromNanos > 0 ? mUpdatedNanos : fromNanos;
    }

    /** Returns the time until a token can be taken with the given reserve. */
    long waitNanos(double reserve, long nowNanos) {
        update(nowNanos);
        double missing = 1 + reserve - mTokens;
        return missing <= 0 ? 0 : (long) (missing / mTokensPerSecond * NANOS_PER_SECOND);
    }

    private void update(long nowNanos) {
        long elapsedNanos = nowNanos - mUpdatedNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        mUpdatedNanos = nowNanos;
        mTokens = Math.min(mCapacity, mTokens + elapsedNanos / NANOS_PER_SECOND * mTokensPerSecond);
    }
}
