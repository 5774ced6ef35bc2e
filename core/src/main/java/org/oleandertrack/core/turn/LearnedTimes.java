package org.oleandertrack.core.turn;

import java.util.OptionalDouble;

/**
 * Times of a service's targets, learned from the responses that this host has received: for model
 * engines the times of all engines and a lasting factor for each, for other services the response
 * time of each route and a lasting factor for each target. Reported slowness is divided out first.
 * Until something clearly different is learned, the constants given at creation are in force. Not
 * thread-safe: the owner guards each instance with its own lock.
 */
public final class LearnedTimes {

    // Observations for each target: nine steps' times, whose deviation is about 10%, or 64 response
    // times of a plain service, which depend on what was asked.
    private static final int STEP_WINDOW = 9;
    private static final int FIRST_EVENT_WINDOW = 9;
    private static final int CALL_WINDOW = 64;
    private static final double STEP_DEVIATION = 0.1;
    private static final double FIRST_EVENT_DEVIATION = 0.25;
    private static final double CALL_DEVIATION = 0.5;
    // Responses that report more slowness are not used: the slowness may have ended since, and a
    // target must not be learned as fast because it reports to be slow.
    private static final double MAX_SLOWNESS = 1.2;
    private static final double MIN_SLOWNESS = 0.5;
    // With a larger fraction of the slots in use, the first event may have waited for a slot or for
    // the prefill of other requests.
    private static final double MAX_PREFILL_LOAD_FRACTION = 0.5;
    private static final double FULL_LOAD_FRACTION = 0.9;
    // Sizes at which the constants hold, beside one request and no prompt.
    private static final double USUAL_BATCH = 15;
    private static final double USUAL_MISSING_TOKENS = 3_000;
    // Round trip to another zone, which is part of the observed times of first events.
    private static final double ROUND_TRIP_MILLIS = 3;
    // Prefill and steps of other requests lengthen the time to the first event; they shorten none.
    private static final double EXCESS_WEIGHT = 0.25;
    private static final double MAX_LOG_RATIO = Math.log(8);

    private final EngineTimes mPrior;
    private final LearnedLine mStepLine;
    private final LearnedLine mFirstEventLine;
    private final TargetFactors mStepFactors = new TargetFactors(STEP_WINDOW, STEP_DEVIATION);
    private final TargetFactors mFirstEventFactors =
            new TargetFactors(FIRST_EVENT_WINDOW, FIRST_EVENT_DEVIATION);
    private final TargetFactors mCallFactors = new TargetFactors(CALL_WINDOW, CALL_DEVIATION);
    private final RouteTimes mRouteTimes = new RouteTimes();
    private EngineTimes mTimes;

    /** Creates the times of a service of which nothing has been observed. */
    public LearnedTimes(EngineTimes prior) {
        mPrior = prior;
        mTimes = prior;
        mStepLine =
                new LearnedLine(
                        prior.stepMillis(), prior.stepMillisPerRequest(), USUAL_BATCH, 1, 0);
        mFirstEventLine =
                new LearnedLine(
                        prior.startDelayMillis(),
                        1 / prior.prefillTokensPerMilli(),
                        USUAL_MISSING_TOKENS,
                        EXCESS_WEIGHT,
                        ROUND_TRIP_MILLIS);
    }

    // Accessors

    /** Returns the mean times of the service's engines. */
    public EngineTimes engineTimes() {
        return mTimes;
    }

    /** Returns the mean response time of a route at the service; empty if none was observed. */
    public OptionalDouble callMillis(String route) {
        return mRouteTimes.meanMillis(route);
    }

    EngineTimes engineTimes(TargetTimes target, long nowNanos) {
        double stepFactor = mStepFactors.factor(target.steps(), nowNanos);
        double firstEventFactor =
                stepFactor * Math.max(1, mFirstEventFactors.factor(target.firstEvents(), nowNanos));
        return stepFactor == 1 && firstEventFactor == 1
                ? mTimes
                : mTimes.scaled(stepFactor, firstEventFactor);
    }

    double engineFactor(TargetTimes target, long nowNanos) {
        return mStepFactors.factor(target.steps(), nowNanos);
    }

    double callFactor(TargetTimes target, long nowNanos) {
        return mCallFactors.factor(target.calls(), nowNanos);
    }

    boolean differs(TargetTimes target) {
        return mStepFactors.differs(target.steps()) || mCallFactors.differs(target.calls());
    }

    // Operations

    /** Adds a target, which has the service's times until it is observed. */
    public TargetTimes add() {
        return new TargetTimes(
                this, mStepFactors.add(), mFirstEventFactors.add(), mCallFactors.add());
    }

    /** Removes a target. */
    public void remove(TargetTimes target) {
        mStepFactors.remove(target.steps());
        mFirstEventFactors.remove(target.firstEvents());
        mCallFactors.remove(target.calls());
    }

    /**
     * Learns from a turn.
     *
     * @param slots number of requests that the engine runs at once
     * @param ownRequests number of this host's requests at the engine
     * @param tokensPerEvent number of tokens in one event
     */
    public void recordTurn(
            TargetTimes target,
            TurnObservation turn,
            int slots,
            int ownRequests,
            int tokensPerEvent,
            long nowNanos) {
        if (turn.load().slowness() > MAX_SLOWNESS) {
            return;
        }
        double slowness = Math.max(MIN_SLOWNESS, turn.load().slowness());
        int batch = Math.clamp(Math.max(turn.load().running(), ownRequests), 1, slots);
        if (turn.gapMillis().isPresent()) {
            double stepMillis = turn.gapMillis().getAsDouble() / tokensPerEvent / slowness;
            recordStep(target, stepMillis, batch, turn.complete(), nowNanos);
        }
        boolean full =
                turn.load().waiting() > 0
                        || turn.load().running() >= slots
                        || turn.requestsAtSend() + 1 > slots * FULL_LOAD_FRACTION;
        if (turn.firstEventMillis().isPresent() && !full) {
            double firstEventMillis = turn.firstEventMillis().getAsDouble() / slowness;
            recordFirstEvent(target, turn, firstEventMillis, batch, tokensPerEvent, nowNanos);
            // With wrong numbers of tokens, the learned time would depend on them too little.
            if (batch <= slots * MAX_PREFILL_LOAD_FRACTION
                    && turn.complete()
                    && !turn.missingTokensAssumed()) {
                learnFirstEvent(target, turn, firstEventMillis, batch, tokensPerEvent, nowNanos);
            }
        }
        updateTimes();
    }

    /**
     * Learns from a complete response of a target that is not an engine.
     *
     * @param load load that the target reported with the response
     * @param slots number of requests that the target runs at once
     */
    public void recordCall(
            TargetTimes target,
            String route,
            double millis,
            ReportedLoad load,
            int slots,
            long nowNanos) {
        if (load.slowness() > MAX_SLOWNESS || millis <= 0) {
            return;
        }
        boolean full = load.waiting() > 0 || load.running() >= slots;
        double observed = millis / Math.max(MIN_SLOWNESS, load.slowness());
        OptionalDouble mean = mRouteTimes.meanMillis(route);
        if (mean.isPresent()) {
            recordCallRatio(target, logRatio(observed, mean.getAsDouble()), full, nowNanos);
        }
        if (full) {
            return;
        }
        mRouteTimes.record(route, observed / callFactor(target, nowNanos));
    }

    // Helpers

    // The time that a call has waited at a full target does not make the target slow. But it must
    // count against a target that is taken for fast, or the target would stay full.
    private void recordCallRatio(TargetTimes target, double logRatio, boolean full, long nowNanos) {
        if (!full) {
            mCallFactors.record(target.calls(), logRatio, nowNanos);
        } else if (callFactor(target, nowNanos) < 1) {
            mCallFactors.record(target.calls(), Math.min(logRatio, mCallFactors.level()), nowNanos);
        }
    }

    private void recordStep(
            TargetTimes target, double stepMillis, int batch, boolean complete, long nowNanos) {
        double logRatio = logRatio(stepMillis, mPrior.stepMillis(batch));
        // A target that fails may look slower by its unfinished responses, but not faster.
        if (!complete && !mStepFactors.isAbove(target.steps(), logRatio, nowNanos)) {
            return;
        }
        mStepFactors.record(target.steps(), logRatio, nowNanos);
        if (complete) {
            mStepLine.record(batch - 1, stepMillis / engineFactor(target, nowNanos));
        }
    }

    private void recordFirstEvent(
            TargetTimes target,
            TurnObservation turn,
            double firstEventMillis,
            int batch,
            int tokensPerEvent,
            long nowNanos) {
        double predictedMillis =
                engineFactor(target, nowNanos)
                        * (mTimes.startDelayMillis()
                                + mTimes.prefillMillis(turn.missingTokens())
                                + stepsBeforeFirstEvent(batch, tokensPerEvent)
                                        * mTimes.stepMillis(batch));
        double logRatio = logRatio(firstEventMillis, predictedMillis);
        if (turn.complete()
                || mFirstEventFactors.isAbove(target.firstEvents(), logRatio, nowNanos)) {
            mFirstEventFactors.record(target.firstEvents(), logRatio, nowNanos);
        }
    }

    private void learnFirstEvent(
            TargetTimes target,
            TurnObservation turn,
            double firstEventMillis,
            int batch,
            int tokensPerEvent,
            long nowNanos) {
        double millis =
                firstEventMillis / engineFactor(target, nowNanos)
                        - stepsBeforeFirstEvent(batch, tokensPerEvent) * mTimes.stepMillis(batch);
        mFirstEventLine.record(turn.missingTokens(), Math.max(0, millis));
    }

    // A request waits for the end of the step that runs when it arrives, on average for half of it.
    private static double stepsBeforeFirstEvent(int batch, int tokensPerEvent) {
        return batch > 1 ? tokensPerEvent + 0.5 : tokensPerEvent;
    }

    private void updateTimes() {
        mTimes =
                mStepLine.isPrior() && mFirstEventLine.isPrior()
                        ? mPrior
                        : new EngineTimes(
                                mStepLine.intercept(),
                                mStepLine.slope(),
                                1 / mFirstEventLine.slope(),
                                mFirstEventLine.intercept());
    }

    private static double logRatio(double millis, double referenceMillis) {
        return Math.clamp(
                Math.log(Math.max(millis, Double.MIN_NORMAL) / referenceMillis),
                -MAX_LOG_RATIO,
                MAX_LOG_RATIO);
    }
}
