package org.oleandertrack.core.turn;

/**
 * Estimated number of requests and slowness of one target. This host counts its own requests
 * exactly and takes those of other hosts from the target's last response. Slowness is the ratio of
 * the current processing time to that of an idle host of standard speed. Estimates decay towards
 * the service's averages as the last observation ages, or towards the target's own average if the
 * service's targets differ in speed. Not thread-safe: the owner guards each instance with its own
 * lock.
 */
public final class LoadEstimate {

    // Time constant of the exponential decay of an observation: hosts share hardware with other
    // workloads, whose load changes within a second.
    private static final double OBSERVATION_DECAY_NANOS = 500e6;
    // Weight of the newest observation in the target's mean slowness, which reflects lasting causes
    // such as older hardware; about ten observations establish it.
    private static final double MEAN_SLOWNESS_WEIGHT = 0.08;
    // Weight of the newest report in the target's mean number of requests. In a model of 27 hosts
    // and 22 engines, 0.15 and 0.6 gave longer turns than 0.4.
    private static final double MEAN_REQUESTS_WEIGHT = 0.4;
    private static final double MIN_SLOWNESS = 0.5;
    private static final double MAX_SLOWNESS = 20;

    private final ServiceLoad mService;
    private final TargetTimes mTimes;
    private final int mSlots;
    private int mOwnRequests;
    private double mOtherRequests;
    private boolean mHasReport;
    private long mReportedNanos;
    private double mMeanRequests;
    // Weight of mMeanRequests against the mean of the service.
    private double mMeanRequestsConfidence;
    private double mSlowness = 1;
    private double mMeanSlowness = 1;
    // Weight of mMeanSlowness against the mean of the service; approaches 1 with each observation.
    private double mMeanSlownessConfidence;
    private long mSlownessObservedNanos;

    /**
     * Creates an estimate for a target that has not been observed yet.
     *
     * @param service load of all targets of the service
     * @param times learned times of the target
     * @param slots number of requests that the target runs at once
     */
    public LoadEstimate(ServiceLoad service, TargetTimes times, int slots) {
        mService = service;
        mTimes = times;
        mSlots = slots;
    }

    // Accessors

    /** Returns the number of this host's requests in progress at the target. */
    public int ownRequests() {
        return mOwnRequests;
    }

    /** Returns the estimated number of requests of all hosts at the target. */
    public double requests(long nowNanos) {
        double weight = mHasReport ? observationWeight(nowNanos - mReportedNanos) : 0;
        double typicalOtherRequests = Math.max(0, typicalRequests() - mOwnRequests);
        return mOwnRequests + mOtherRequests * weight + typicalOtherRequests * (1 - weight);
    }

    /** Returns the estimated slowness; 1 for an idle host of standard speed. */
    public double slowness(long nowNanos) {
        double weight = observationWeight(nowNanos - mSlownessObservedNanos);
        double typicalSlowness =
                mMeanSlowness * mMeanSlownessConfidence
                        + mService.slowness() * (1 - mMeanSlownessConfidence);
        return mSlowness * weight + typicalSlowness * (1 - weight);
    }

    /** Returns the age of the last slowness observation, in nanoseconds. */
    public long slownessAgeNanos(long nowNanos) {
        return nowNanos - mSlownessObservedNanos;
    }

    // Operations

    /** Counts a request that is sent to the target. */
    public void recordSent() {
        mOwnRequests++;
    }

    /** Counts the end of a request that was sent. */
    public void recordEnded() {
        mOwnRequests--;
    }

    /** Records the load that a response of the target reports. */
    public void recordReport(ReportedLoad reportedLoad, long nowNanos) {
        double otherRequests =
                Math.max(0, reportedLoad.running() + reportedLoad.waiting() - mOwnRequests);
        mOtherRequests = otherRequests;
        double requests = reportedLoad.running() + reportedLoad.waiting();
        mMeanRequests += MEAN_REQUESTS_WEIGHT * (requests - mMeanRequests);
        mMeanRequestsConfidence += MEAN_REQUESTS_WEIGHT * (1 - mMeanRequestsConfidence);
        mHasReport = true;
        mReportedNanos = nowNanos;
        mService.recordReport(reportedLoad, mSlots);
        recordSlowness(reportedLoad.slowness(), nowNanos);
    }

    /** Records an observed slowness. */
    public void recordSlowness(double slowness, long nowNanos) {
        mSlowness = Math.clamp(slowness, MIN_SLOWNESS, MAX_SLOWNESS);
        mMeanSlowness += MEAN_SLOWNESS_WEIGHT * (mSlowness - mMeanSlowness);
        mMeanSlownessConfidence += MEAN_SLOWNESS_WEIGHT * (1 - mMeanSlownessConfidence);
        mSlownessObservedNanos = nowNanos;
    }

    // Faster targets get more requests than the mean of the service. If hosts assumed that mean,
    // all
    // of them would send to the fastest targets, and these would be overloaded.
    private double typicalRequests() {
        double serviceRequests = mService.requestsPerSlot() * mSlots;
        return mTimes.differs()
                ? mMeanRequests * mMeanRequestsConfidence
                        + serviceRequests * (1 - mMeanRequestsConfidence)
                : serviceRequests;
    }

    private static double observationWeight(long ageNanos) {
        return Math.exp(-ageNanos / OBSERVATION_DECAY_NANOS);
    }
}
