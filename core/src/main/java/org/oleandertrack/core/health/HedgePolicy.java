package org.oleandertrack.core.health;

import java.util.OptionalLong;

/**
 * Decides when a second attempt of a call is sent to another target (hedging). Only calls that may
 * be repeated are hedged, and at most 5 in 100 calls. The lateness of an attempt is the time that
 * it has taken beyond its predicted time. A second attempt is sent only if the lateness of the
 * first has reached the 95th percentile of recent attempts, the time that the second attempt spends
 * on repeated work, and the time predicted for the second attempt. The owner chooses which time of
 * an attempt is recorded, for instance the time to the first tokens; it must be comparable between
 * all calls of a policy.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class HedgePolicy {

    /** Number of hedged calls allowed per hundred calls. */
    public static final int PER_HUNDRED = 5;

    private static final int MAX_SAVED_HEDGES = 20;

    private final ExtraCallAllowance mAllowance =
            new ExtraCallAllowance(PER_HUNDRED, MAX_SAVED_HEDGES);
    private final LatenessQuantile mQuantile = new LatenessQuantile();

    /** Counts a call by a caller; its attempts are not counted. */
    public void recordCall() {
        mAllowance.recordCall();
    }

    /**
     * Records the time of an attempt that was not cancelled.
     *
     * @param expectedNanos time predicted when the attempt was sent, in nanoseconds
     * @param actualNanos time that the attempt took, in nanoseconds
     */
    public void recordAttempt(long expectedNanos, long actualNanos) {
        mQuantile.record(actualNanos - expectedNanos);
    }

    /**
     * Returns the time from sending an attempt until it is hedged, in nanoseconds; empty until
     * enough attempts have been recorded.
     *
     * @param expectedNanos time predicted when the attempt was sent, in nanoseconds
     * @param repeatNanos time that the second attempt spends on work that the first one has already
     *     done, in nanoseconds
     */
    public OptionalLong delayNanos(long expectedNanos, long repeatNanos) {
        OptionalLong quantileNanos = mQuantile.nanos();
        return quantileNanos.isPresent()
                ? OptionalLong.of(expectedNanos + Math.max(quantileNanos.getAsLong(), repeatNanos))
                : OptionalLong.empty();
    }

    /**
     * Returns whether an attempt that has taken at least {@link #delayNanos} may be hedged now. If
     * so, takes the hedge from the allowance.
     *
     * @param repeatable whether the call may be repeated
     * @param lateNanos lateness of the attempt, in nanoseconds
     * @param predictedNanos time predicted for the second attempt, in nanoseconds
     */
    public boolean tryHedge(boolean repeatable, long lateNanos, long predictedNanos) {
        return repeatable && predictedNanos <= lateNanos && mAllowance.tryTake();
    }
}
