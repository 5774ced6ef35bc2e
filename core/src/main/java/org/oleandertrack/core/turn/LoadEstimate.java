package org.oleandertrack.core.turn;

/**
 * Number of requests and present slowness of one target, as this host believes them. Own requests
 * are known exactly, those of other hosts from the last response of the target. Not thread-safe:
 * the owner guards each instance with its own lock.
 */
public final class LoadEstimate {

    // Hosts share their hardware with neighbours whose load changes within a second; an
    // observation loses its meaning with this time constant.
    private static final double MEMORY_NANOS = 500e6;
    // Slowness that lasts, such as that of older hardware, is learnt over some ten observations.
    private static final double MEAN_WEIGHT = 0.08;
    private static final double MIN_SLOWNESS = 0.5;
    private static final double MAX_SLOWNESS = 20;

    private final ServiceLoad mService;
    private final int mSlots;
    private int mOwn;
    private double mOthers;
    private boolean mReported;
    private long mOthersAtNanos;
    private double mSlowness = 1;
    private double mMeanSlowness = 1;
    private double mMeanSlownessTrust;
    private long mSlownessAtNanos;

    /**
     * Creates an estimate for a target of which nothing is known.
     *
     * @param service load of the targets of the same service
     * @param slots requests that the target runs at once
     */
    public LoadEstimate(ServiceLoad service, int slots) {
        mService = service;
        mSlots = slots;
    }

    // Accessors

    /** Returns the requests of this host that are under way at the target. */
    public int own() {
        return mOwn;
    }

    /** Returns the estimated number of requests at the target, of all hosts. */
    public double requests(long nowNanos) {
        double weight = mReported ? freshness(nowNanos - mOthersAtNanos) : 0;
        double usualOthers = Math.max(0, mService.fill() * mSlots - mOwn);
        return mOwn + mOthers * weight + usualOthers * (1 - weight);
    }

    /** Returns the estimated time that work takes, relative to an idle host of the usual speed. */
    public double slowness(long nowNanos) {
        double weight = freshness(nowNanos - mSlownessAtNanos);
        double usual =
                mMeanSlowness * mMeanSlownessTrust + mService.slowness() * (1 - mMeanSlownessTrust);
        return mSlowness * weight + usual * (1 - weight);
    }

    /** Returns the age of the last observation of the target's slowness, in nanoseconds. */
    public long slownessAgeNanos(long nowNanos) {
        return nowNanos - mSlownessAtNanos;
    }

    // Operations

    /** Notes that a request is sent to the target. */
    public void sent() {
        mOwn++;
    }

    /** Notes that a request that was sent has ended. */
    public void ended() {
        mOwn--;
    }

    /** Takes the figures of a response. */
    public void reported(LoadFigures figures, long nowNanos) {
        double others = Math.max(0, figures.running() + figures.waiting() - mOwn);
        mOthers = others;
        mReported = true;
        mOthersAtNanos = nowNanos;
        mService.reported(figures, mSlots);
        slownessSeen(figures.slowness(), nowNanos);
    }

    /** Takes an observation of the time that work takes, relative to the usual. */
    public void slownessSeen(double slowness, long nowNanos) {
        mSlowness = Math.clamp(slowness, MIN_SLOWNESS, MAX_SLOWNESS);
        mMeanSlowness += MEAN_WEIGHT * (mSlowness - mMeanSlowness);
        mMeanSlownessTrust += MEAN_WEIGHT * (1 - mMeanSlownessTrust);
        mSlownessAtNanos = nowNanos;
    }

    private static double freshness(long ageNanos) {
        return Math.exp(-ageNanos / MEMORY_NANOS);
    }
}
