package org.oleandertrack.core.placement;

/**
 * Load of one target as this process estimates it: the last report of its sidecar, plus the calls
 * that this process has sent since, less the ones it has seen finished since. The estimate is never
 * below the calls that this process has under way there.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class TargetLoad {

    // Weight of the newest call in the mean service: about the last 20 calls count.
    private static final double MEAN_WEIGHT = 0.05;

    private final TargetInfo mInfo;
    private LoadReport mReport = LoadReport.IDLE;
    private double mMeanServiceNanos;
    private int mUnderWay;
    private int mSentSince;
    private int mFinishedSince;

    /**
     * Creates the load of a target that has not reported yet.
     *
     * @param info the target
     * @param expectedServiceNanos service of a call until the first one is seen, in nanoseconds
     * @throws IllegalArgumentException if the service is not positive
     */
    public TargetLoad(TargetInfo info, long expectedServiceNanos) {
        if (expectedServiceNanos <= 0) {
            throw new IllegalArgumentException(
                    "expectedServiceNanos is not positive: " + expectedServiceNanos);
        }
        mInfo = info;
        mMeanServiceNanos = expectedServiceNanos;
    }

    /** Returns the target. */
    public TargetInfo info() {
        return mInfo;
    }

    /** Returns the calls that this process has under way at the target. */
    public int underWay() {
        return mUnderWay;
    }

    /** Takes over a report; calls sent and finished before it are taken to be in it. */
    public void reported(LoadReport report) {
        mReport = report;
        mSentSince = 0;
        mFinishedSince = 0;
    }

    /** Counts a call that this process sends to the target. */
    public void sent() {
        mUnderWay++;
        mSentSince++;
    }

    /**
     * Counts the end of a call that this process had sent, whatever its outcome.
     *
     * @param serviceNanos service that the call attained, in nanoseconds; 0 if it did not run
     * @throws IllegalStateException if no call of this process is under way
     */
    public void finished(long serviceNanos) {
        if (mUnderWay == 0) {
            throw new IllegalStateException("no call is under way at " + mInfo.id());
        }
        mUnderWay--;
        mFinishedSince++;
        if (serviceNanos > 0) {
            mMeanServiceNanos += MEAN_WEIGHT * (serviceNanos - mMeanServiceNanos);
        }
    }

    /** Returns the calls that run or wait at the target, as estimated. */
    public int outstanding() {
        int estimate = mReport.running() + mReport.queued() + mSentSince - mFinishedSince;
        return Math.max(mUnderWay, estimate);
    }

    /**
     * Returns the time that a call sent now is expected to wait at the target before it starts, in
     * nanoseconds. Work reported as queued counts as reported, calls beyond it with the mean
     * service seen here; the slots share the work.
     */
    public long predictedWaitNanos() {
        int ahead = outstanding() + 1 - mInfo.slots();
        if (ahead <= 0) {
            return 0;
        }
        double workNanos = ahead * mMeanServiceNanos;
        if (mReport.queued() > 0) {
            double reportedNanos = (double) mReport.queuedWorkNanos() / mReport.queued();
            int known = Math.min(ahead, mReport.queued());
            workNanos = known * reportedNanos + (ahead - known) * mMeanServiceNanos;
        }
        return (long) (workNanos / mInfo.slots());
    }
}
