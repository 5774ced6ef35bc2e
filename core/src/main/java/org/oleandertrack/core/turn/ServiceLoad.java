package org.oleandertrack.core.turn;

/**
 * Load of a service's targets as the latest responses of any of them state it. It stands in for a
 * target whose own last response is old: a host that is one of many sees each single target rarely,
 * and a target that it has not heard of is as busy as the others. Not thread-safe: the owner guards
 * it with the lock of the service's targets.
 */
public final class ServiceLoad {

    // The last ten responses or so, which a busy host gets within half a second.
    private static final double WEIGHT = 0.1;

    private double mFill;
    private double mSlowness = 1;

    /** Returns the mean number of requests for each slot of a target. */
    public double fill() {
        return mFill;
    }

    /** Returns the mean slowness. */
    public double slowness() {
        return mSlowness;
    }

    /** Takes the figures of a response. */
    public void reported(LoadFigures figures, int slots) {
        double fill = (double) (figures.running() + figures.waiting()) / slots;
        mFill += WEIGHT * (fill - mFill);
        mSlowness += WEIGHT * (figures.slowness() - mSlowness);
    }
}
