package org.oleandertrack.core.placement;

/**
 * Estimated load of one target: the last report of its sidecar, plus the calls that this process
 * has sent since that report, minus the calls that it has seen finish since. The estimate is never
 * below the number of calls that this process has in progress there.
 *
 * <p>Not thread-safe: the owner guards each instance with its own lock.
 */
public final class TargetLoad {

    // Weight of the newest call in the mean service time: about the last 20 calls count.
    private static final double MEAN_SERVICE_WEIGHT = 0.05;

    private final TargetInfo mInfo;
    private LoadReport mReport = LoadReport.IDLE;
    private double mMeanServiceNanos;
    private int mInProgress;
    private int mSentSinceReport;
    private int mFinishedSinceReport;

    /**
     * Creates the load of a target that has not reported yet.
     *
     * @param info the target
     * @param expectedServiceNanos assumed service time of a call until the first call has finished,
     *     in nanoseconds
     * @throws IllegalArgumentException if the service time is not positive
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

    /** Returns the number of calls of this process that are in progress at the target. */
    public int inProgress() {
        return mInProgress;
    }

    /**
     * Replaces the last report. The report is assumed to include all calls sent or finished before
     * it.
     */
    public void recordReport(LoadReport report) {
        mReport = report;
        mSentSinceReport = 0;
        mFinishedSinceReport = 0;
    }

    /** Counts a call that this process sends to the target. */
    public void recordSent() {
        mInProgress++;
        mSentSinceReport++;
    }

    /**
     * Counts the end of a call that this process sent, whatever its outcome.
     *
     * @param serviceNanos service time of the call, in nanoseconds; 0 if it did not run
     * @throws IllegalStateException if no call of this process is in progress
     */
    public void recordFinished(long serviceNanos) {
        if (mInProgress == 0) {
            throw new IllegalStateException(
                    "no call of this process is in progress at " + mInfo.id());
        }
        mInProgress--;
        mFinishedSinceReport++;
        if (serviceNanos > 0) {
            mMeanServiceNanos += MEAN_SERVICE_WEIGHT * (serviceNanos - mMeanServiceNanos);
        }
    }

    /** Returns the estimated number of calls that run or wait at the target. */
    public int outstanding() {
        int estimate =
                mReport.running() + mReport.queued() + mSentSinceReport - mFinishedSinceReport;
        return Math.max(mInProgress, estimate);
    }

    /**
     * Returns the predicted time for which a call sent now would wait before it starts, in
     * nanoseconds. Of the calls ahead of it, those that the report counts as queued are assumed to
     * take the service time stated in the report, and the others the mean service time observed by
     * this process. The work is divided evenly among the slots.
     */
    public long predictedWaitNanos() {
        int callsAhead = outstanding() + 1 - mInfo.slots();
        if (callsAhead <= 0) {
            return 0;
        }
        double workNanos = callsAhead * mMeanServiceNanos;
        if (mReport.queued() > 0) {
            double reportedNanosPerCall = (double) mReport.queuedWorkNanos() / mReport.queued();
            int reportedCalls = Math.min(callsAhead, mReport.queued());
            workNanos =
                    reportedCalls * reportedNanosPerCall
                            + (callsAhead - reportedCalls) * mMeanServiceNanos;
        }
        return (long) (workNanos / mInfo.slots());
    }
}
