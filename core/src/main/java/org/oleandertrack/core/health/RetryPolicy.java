package org.oleandertrack.core.health;

import java.util.random.RandomGenerator;
import org.oleandertrack.core.result.Execution;

/**
 * Decides whether and when failed attempts are retried. Retries are limited to 4 in 100 calls.
 * Their delay is an exponential backoff with full jitter: it is drawn uniformly between 0 and a
 * bound that doubles with each attempt. An attempt is retried only if it was not run or the call
 * may be repeated.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class RetryPolicy {

    /** Number of retries allowed per hundred calls. */
    public static final int PER_HUNDRED = 4;

    private static final int MAX_SAVED_RETRIES = 20;
    private static final int MAX_DOUBLINGS = 30;

    private final ExtraCallAllowance mAllowance =
            new ExtraCallAllowance(PER_HUNDRED, MAX_SAVED_RETRIES);
    private final long mFirstBackoffNanos;
    private final long mMaxBackoffNanos;
    private final int mMaxAttempts;
    private final RandomGenerator mRandom;

    /**
     * Creates a policy.
     *
     * @param firstBackoffNanos bound of the delay before the first retry, in nanoseconds; positive
     * @param maxBackoffNanos largest bound of the delay, in nanoseconds; at least the first bound
     * @param maxAttempts largest number of attempts per call; positive
     * @param random draws the delays
     * @throws IllegalArgumentException if a value is out of range
     */
    public RetryPolicy(
            long firstBackoffNanos, long maxBackoffNanos, int maxAttempts, RandomGenerator random) {
        if (firstBackoffNanos <= 0 || maxBackoffNanos < firstBackoffNanos || maxAttempts <= 0) {
            throw new IllegalArgumentException(
                    "backoff bounds or attempts out of range: firstBackoffNanos "
                            + firstBackoffNanos
                            + ", maxBackoffNanos "
                            + maxBackoffNanos
                            + ", maxAttempts "
                            + maxAttempts);
        }
        mFirstBackoffNanos = firstBackoffNanos;
        mMaxBackoffNanos = maxBackoffNanos;
        mMaxAttempts = maxAttempts;
        mRandom = random;
    }

    /** Counts a call by a caller; its attempts are not counted. */
    public void recordCall() {
        mAllowance.recordCall();
    }

    /**
     * Decides whether a failed attempt is retried. If so, takes the retry from the allowance.
     *
     * @param attemptsMade number of attempts made so far, at least 1
     * @param execution whether the failed attempt was executed
     * @param repeatable whether the call may be repeated
     */
    public RetryDecision decideRetry(int attemptsMade, Execution execution, boolean repeatable) {
        boolean mayRepeat = execution == Execution.NOT_RUN || repeatable;
        if (!mayRepeat || attemptsMade >= mMaxAttempts || !mAllowance.tryTake()) {
            return new RetryDecision.GiveUp();
        }
        return new RetryDecision.Retry(mRandom.nextLong(backoffBoundNanos(attemptsMade) + 1));
    }

    private long backoffBoundNanos(int attemptsMade) {
        int doublings = Math.min(attemptsMade - 1, MAX_DOUBLINGS);
        return mFirstBackoffNanos > mMaxBackoffNanos >> doublings
                ? mMaxBackoffNanos
                : mFirstBackoffNanos << doublings;
    }
}
