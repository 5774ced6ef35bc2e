package org.oleandertrack.core.health;

import java.util.random.RandomGenerator;
import org.oleandertrack.core.result.Execution;

/**
 * Decides about retries. They draw on an allowance of 4 in 100 calls and wait for a time drawn
 * evenly between 0 and a bound that doubles with each attempt. Only an attempt that was not run, or
 * whose call may be repeated, is retried.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class RetryPolicy {

    /** Retries for each hundred calls. */
    public static final int PER_HUNDRED = 4;

    private static final int MAX_SAVED = 20;
    private static final int MAX_DOUBLINGS = 30;

    private final Allowance mAllowance = new Allowance(PER_HUNDRED, MAX_SAVED);
    private final long mFirstNanos;
    private final long mMaxNanos;
    private final int mMaxAttempts;
    private final RandomGenerator mRandom;

    /**
     * Creates a policy.
     *
     * @param firstNanos bound of the wait before the first retry, in nanoseconds; positive
     * @param maxNanos largest bound, in nanoseconds; at least {@code firstNanos}
     * @param maxAttempts largest number of attempts of a call; positive
     * @throws IllegalArgumentException if a value is out of range
     */
    public RetryPolicy(long firstNanos, long maxNanos, int maxAttempts, RandomGenerator random) {
        if (firstNanos <= 0 || maxNanos < firstNanos || maxAttempts <= 0) {
            throw new IllegalArgumentException(
                    "firstNanos "
                            + firstNanos
                            + ", maxNanos "
                            + maxNanos
                            + ", maxAttempts "
                            + maxAttempts);
        }
        mFirstNanos = firstNanos;
        mMaxNanos = maxNanos;
        mMaxAttempts = maxAttempts;
        mRandom = random;
    }

    /** Counts a call of a caller; its attempts are not counted. */
    public void counted() {
        mAllowance.counted();
    }

    /**
     * Decides about the next attempt after one that failed, and takes a retry from the allowance.
     *
     * @param attempts attempts made so far, from 1
     * @param execution whether the failed attempt was run
     * @param repeatable whether the call may be repeated
     */
    public RetryDecision afterFailure(int attempts, Execution execution, boolean repeatable) {
        boolean allowed = execution == Execution.NOT_RUN || repeatable;
        if (!allowed || attempts >= mMaxAttempts || !mAllowance.take()) {
            return new RetryDecision.GiveUp();
        }
        return new RetryDecision.Retry(mRandom.nextLong(boundNanos(attempts) + 1));
    }

    private long boundNanos(int attempts) {
        int doublings = Math.min(attempts - 1, MAX_DOUBLINGS);
        return mFirstNanos > mMaxNanos >> doublings ? mMaxNanos : mFirstNanos << doublings;
    }
}
