package org.oleandertrack.core.turn;

/**
 * Learned times of one target. Not thread-safe: the owner guards each instance with its own lock.
 */
public final class TargetTimes {

    private final LearnedTimes mService;
    private final RatioWindow mSteps;
    private final RatioWindow mFirstEvents;
    private final RatioWindow mCalls;

    TargetTimes(
            LearnedTimes service, RatioWindow steps, RatioWindow firstEvents, RatioWindow calls) {
        mService = service;
        mSteps = steps;
        mFirstEvents = firstEvents;
        mCalls = calls;
    }

    /** Returns the times of an engine; those of its service unless it clearly differs from them. */
    public EngineTimes engineTimes(long nowNanos) {
        return mService.engineTimes(this, nowNanos);
    }

    /** Returns the lasting factor of the times of an engine's steps. */
    public double engineFactor(long nowNanos) {
        return mService.engineFactor(this, nowNanos);
    }

    /** Returns the lasting factor of the response times of a target that is not an engine. */
    public double callFactor(long nowNanos) {
        return mService.callFactor(this, nowNanos);
    }

    /**
     * Returns whether the target's load is expected to differ from that of the others, because it
     * or many of the service's targets are faster or slower than the service.
     */
    boolean differs() {
        return mService.differs(this);
    }

    RatioWindow steps() {
        return mSteps;
    }

    RatioWindow firstEvents() {
        return mFirstEvents;
    }

    RatioWindow calls() {
        return mCalls;
    }
}
