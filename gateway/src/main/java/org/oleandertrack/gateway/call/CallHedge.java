package org.oleandertrack.gateway.call;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.health.HedgeDenial;
import org.oleandertrack.core.health.HedgeSchedule;
import org.oleandertrack.core.health.SendPrediction;
import org.oleandertrack.core.turn.PlacementChoice;
import org.oleandertrack.core.turn.TurnRequest;
import org.oleandertrack.gateway.targets.PlacedTarget;
import org.oleandertrack.gateway.targets.TargetFilter;
import org.oleandertrack.gateway.targets.TargetRegistry;

/**
 * Has the request of one call sent to a second target if the first one is late, at most once.
 * Confined to the call's event loop.
 */
final class CallHedge {

    private final Call mCall;
    private final CallDispatcher mDispatcher;
    private final Hedging mHedging;
    private final TargetRegistry mTargets;
    private final Optional<TurnRequest> mTurn;
    private Optional<Attempt> mFirst = Optional.empty();
    private Optional<Attempt> mSecond = Optional.empty();
    private SendPrediction mPrediction = SendPrediction.ofMillis(0);
    private long mDelayNanos;
    private boolean mDeniedByLimit;
    private Optional<ScheduledFuture<?>> mTimer = Optional.empty();

    /** Creates a hedge for a call that has not been sent yet. */
    CallHedge(Call call, CallDispatcher dispatcher, Hedging hedging, Optional<TurnRequest> turn) {
        mCall = call;
        mDispatcher = dispatcher;
        mHedging = hedging;
        mTargets = call.context().targets();
        mTurn = turn;
    }

    // Operations

    /** Observes an attempt that was just sent, which is the only one of the call. */
    void observe(Attempt attempt, PlacementChoice choice) {
        mFirst = Optional.of(attempt);
        mPrediction = mTargets.predictSend(mTurn, choice);
        OptionalLong delayNanos = mHedging.schedule().delayNanos(mCall.route().name(), mPrediction);
        if (delayNanos.isPresent()) {
            mDelayNanos = delayNanos.getAsLong();
            checkAfter(mDelayNanos);
        }
    }

    /**
     * Handles the beginning of the response that is given to the caller.
     *
     * @param loser the other attempt, which was cancelled; empty if there was none or it has failed
     */
    void onResponseBegun(Attempt winner, Optional<Attempt> loser, boolean succeeded) {
        if (mFirst.isPresent() && succeeded) {
            mHedging.schedule()
                    .recordTime(mCall.route().name(), mPrediction, elapsedNanos(mFirst.get()));
        }
        boolean secondWon = mSecond.filter(winner::equals).isPresent();
        if (secondWon || loser.isPresent()) {
            recordRace(winner, loser, secondWon);
        }
        stop();
    }

    /** Ends the observation, because the observed attempt or the call has ended. */
    void stop() {
        mTimer.ifPresent(timer -> timer.cancel(false));
        mTimer = Optional.empty();
        mFirst = Optional.empty();
    }

    // Helpers

    private void checkAfter(long delayNanos) {
        mTimer =
                Optional.of(
                        mCall.writer()
                                .eventLoop()
                                .schedule(this::check, delayNanos, TimeUnit.NANOSECONDS));
    }

    private void check() {
        mTimer = Optional.empty();
        Attempt first = mFirst.orElseThrow();
        // The target is not read while the caller does not read.
        if (!mCall.writer().isWritable()) {
            checkAfter(HedgeSchedule.recheckNanos(mDelayNanos));
            return;
        }
        HedgeSchedule schedule = mHedging.schedule();
        Optional<HedgeDenial> denial = mDispatcher.hedgeRequest().denial();
        if (denial.isPresent()) {
            deny(first, denial.get());
            return;
        }
        if (!schedule.isAvailable()) {
            denyByLimit(first);
            return;
        }
        long nowNanos = System.nanoTime();
        Optional<TargetFilter> filter = mDispatcher.targetFilter();
        Optional<PlacedTarget> second =
                filter.flatMap(
                        accepted -> mTargets.placeHedge(first.handle(), mTurn, accepted, nowNanos));
        if (second.isEmpty()) {
            deny(first, HedgeDenial.NO_TARGET);
            return;
        }
        long waitNanos =
                schedule.waitNanos(
                        mPrediction,
                        mTargets.predictSend(mTurn, second.get().choice()),
                        elapsedNanos(first));
        if (waitNanos > 0) {
            mTargets.withdraw(second.get().handle());
            checkAfter(waitNanos);
            return;
        }
        if (!schedule.tryTake()) {
            mTargets.withdraw(second.get().handle());
            denyByLimit(first);
            return;
        }
        mHedging.metrics().recordSent(schedule.extraPercent());
        mCall.log().hedged(first.handle(), second.get().handle(), mDelayNanos, elapsedNanos(first));
        mTurn.ifPresent(turn -> mTargets.recordPrefill(second.get().handle(), turn));
        mSecond = Optional.of(mDispatcher.sendSecond(second.get()));
    }

    private void denyByLimit(Attempt first) {
        if (!mDeniedByLimit) {
            mDeniedByLimit = true;
            deny(first, HedgeDenial.LIMIT_REACHED);
        }
        checkAfter(HedgeSchedule.recheckNanos(mDelayNanos));
    }

    private void deny(Attempt first, HedgeDenial denial) {
        mHedging.metrics().recordDenied(denial);
        mCall.log()
                .hedgeDenied(
                        first.handle(),
                        denial,
                        mDelayNanos,
                        elapsedNanos(first),
                        mCall.remainingMillis());
    }

    private void recordRace(Attempt winner, Optional<Attempt> loser, boolean secondWon) {
        if (secondWon) {
            mHedging.metrics().recordWon();
        }
        if (loser.isPresent()) {
            mHedging.metrics().recordCancelled();
        }
        mCall.log().hedgeDecided(winner.handle(), loser.map(Attempt::handle), secondWon);
    }

    private static long elapsedNanos(Attempt attempt) {
        return System.nanoTime() - attempt.sentNanos();
    }
}
