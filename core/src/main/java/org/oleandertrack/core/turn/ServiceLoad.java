package org.oleandertrack.core.turn;

/**
 * Average load of a service's targets, taken from the latest responses of all of them. It replaces
 * the estimate for a target whose own last response is old: where there are many hosts, each of
 * them rarely receives a response of a given target, and a target without a recent response is
 * assumed to be as busy as the others. Not thread-safe: the owner guards it with the lock of the
 * service's targets.
 */
public final class ServiceLoad {

    // Weight of the newest response: about the last ten count, which a busy host receives within
    // half a second.
    private static final double RESPONSE_WEIGHT = 0.1;

    private double mRequestsPerSlot;
    private double mSlowness = 1;

    /** Returns the mean number of requests per slot. */
    public double requestsPerSlot() {
        return mRequestsPerSlot;
    }

    /** Returns the mean slowness. */
    public double slowness() {
        return mSlowness;
    }

    /**
     * Records the load that a target's response reports.
     *
     * @param slots number of requests that the target runs at once
     */
    public void recordReport(ReportedLoad reportedLoad, int slots) {
        double requestsPerSlot = (double) (reportedLoad.running() + reportedLoad.waiting()) / slots;
        mRequestsPerSlot += RESPONSE_WEIGHT * (requestsPerSlot - mRequestsPerSlot);
        mSlowness += RESPONSE_WEIGHT * (reportedLoad.slowness() - mSlowness);
    }
}
