package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.core.attempt.AttemptEnd;
import org.oleandertrack.core.attempt.CallProgress;
import org.oleandertrack.core.attempt.ContinuationPolicy;
import org.oleandertrack.core.attempt.NextStep;
import org.oleandertrack.core.health.HedgeRequest;
import org.oleandertrack.core.rate.PermitPatience;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.turn.TurnRequest;
import org.oleandertrack.gateway.targets.PlacedTarget;
import org.oleandertrack.gateway.targets.TargetFilter;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.OutboundFailure;

/**
 * Sends the request of one call to targets, and decides what follows when an attempt ends. At most
 * two attempts run at a time, the second one because the first is late: the one that begins its
 * response first is given to the caller, and an attempt that fails leaves the call to the other.
 * Confined to the call's event loop.
 */
final class CallDispatcher {

    // With less time left, a resumed stream, which starts after tens of ms, would come too late.
    private static final long MIN_REMAINING_TO_RETRY_MILLIS = 50;

    private final Call mCall;
    private final AdmittedCaller mCaller;
    private final CallUrgency mUrgency;
    private final InboundRequest mRequest;
    private final String mService;
    private final Optional<TurnRequest> mTurn;
    private final Optional<CallHistory> mHistory;
    private final CrashGuard mCrashGuard;
    private final StreamContinuation mContinuation;
    private final TargetSelection mSelection;
    private final SendHistory mSends;
    private final TargetReports mReports;
    // Empty unless the process hedges requests and this one may be hedged.
    private final Optional<CallHedge> mHedge;
    private Optional<Attempt> mCurrentAttempt = Optional.empty();
    // Present only while two attempts are running and neither has begun its response.
    private Optional<Attempt> mSecondAttempt = Optional.empty();
    private long mPredictedMillis;
    private ByteBuf mBody;

    /**
     * Creates a dispatcher that has not sent anything.
     *
     * @param service name of the service whose targets may run the request
     * @param turn what placement needs to know if the request is a turn for a model engine
     * @param history the conversation of the turn; empty if the route keeps none
     */
    CallDispatcher(
            Call call,
            AdmittedCaller caller,
            CallUrgency urgency,
            InboundRequest request,
            String service,
            Optional<TurnRequest> turn,
            Optional<CallHistory> history,
            CrashGuard crashGuard,
            StreamContinuation continuation) {
        mCall = call;
        mCaller = caller;
        mUrgency = urgency;
        mRequest = request;
        mService = service;
        mTurn = turn;
        mHistory = history;
        mCrashGuard = crashGuard;
        mContinuation = continuation;
        mBody = request.body();
        mSends = new SendHistory(call.route().maxAttempts());
        mReports = new TargetReports(call.context().targets());
        mSelection =
                new TargetSelection(
                        call.context(),
                        call.writer().eventLoop(),
                        service,
                        turn,
                        call.route().isRepeatable(),
                        call::hasEnded,
                        () ->
                                call.context()
                                        .stopAdmission()
                                        .maySend(call.route(), call.remainingMillis()),
                        caller.refusal(),
                        call.log());
        mHedge = makeHedge();
    }

    // Accessors

    SendHistory sends() {
        return mSends;
    }

    /** Returns whether a target may have run the request or may be running it. */
    boolean mayHaveRun() {
        return mCurrentAttempt.isPresent() || mSends.mayHaveRun();
    }

    /** Returns whether the response of an attempt is still awaited. */
    boolean isRunning(Attempt attempt) {
        return !mCall.hasEnded()
                && (isPresent(mCurrentAttempt, attempt) || isPresent(mSecondAttempt, attempt));
    }

    /** Returns the targets to which the request may be sent; empty if there can be none. */
    Optional<TargetFilter> targetFilter() {
        return mContinuation.targetsExcept(mSends.excludedTargetIds());
    }

    /** Describes the call for the decision on a second send. */
    HedgeRequest hedgeRequest() {
        CallContext context = mCall.context();
        return new HedgeRequest(
                mCall.route().isRepeatable(),
                mCall.continuesConversation(),
                mCall.progress().isStarted(),
                mSends.mayHaveRun(),
                mSends.sendCount(),
                mCall.route().maxAttempts(),
                mCrashGuard.isSuspect(),
                mCaller.refusal().get().isPresent(),
                context.stopAdmission().isStopping(),
                mCall.remainingMillis(),
                context.targets().isNearlyFull(mService, System.nanoTime()));
    }

    // Operations

    /**
     * Sends the request for the first time.
     *
     * @param body body that the targets receive
     */
    void start(ByteBuf body) {
        mBody = body;
        dispatch(Optional.empty());
    }

    void setReading(boolean reading) {
        mCurrentAttempt.ifPresent(attempt -> attempt.setReading(reading));
        mSecondAttempt.ifPresent(attempt -> attempt.setReading(reading));
    }

    /** Cancels what is running. Called when the call ends before its response does. */
    void cancel() {
        mHedge.ifPresent(CallHedge::stop);
        mCurrentAttempt.ifPresent(Attempt::cancel);
        mCurrentAttempt = Optional.empty();
        mSecondAttempt.ifPresent(Attempt::cancel);
        mSecondAttempt = Optional.empty();
    }

    /** Sends the request to a second target while the first one has not begun its response. */
    Attempt sendSecond(PlacedTarget placed) {
        Attempt attempt = makeAttempt(placed, OptionalLong.empty(), false);
        mSecondAttempt = Optional.of(attempt);
        attempt.send(requestHead(placed.handle()), mBody.retainedDuplicate());
        return attempt;
    }

    // Dispatch

    /** Sends the request to the given target again, or to a target that placement chooses. */
    private void dispatch(Optional<TargetHandle> target) {
        // A target that leaves takes nothing new, and no other one may run what it may have run.
        boolean targetLeaves = target.filter(TargetHandle::isLeaving).isPresent();
        Optional<TargetFilter> filter = targetFilter();
        if (targetLeaves || filter.isEmpty()) {
            failWithoutTarget();
            return;
        }
        Optional<TargetHandle> required = target.filter(handle -> !handle.isRemoved());
        long remainingMillis = mCall.remainingMillis();
        long maxPermitWaitMillis =
                mSends.mayHaveRun()
                        ? PermitPatience.maxWaitMillisOfStarted(remainingMillis)
                        : PermitPatience.maxWaitMillis(
                                mCall.route().latencyObjectiveMillis(),
                                mCall.route().priority(),
                                remainingMillis);
        mSelection.select(
                required,
                filter.get(),
                maxPermitWaitMillis,
                !mSends.mayHaveRun() && !mCall.progress().isStarted(),
                result -> onSelection(result, required.isPresent()));
    }

    private void onSelection(TargetSelection.Result result, boolean sameTarget) {
        switch (result) {
            case TargetSelection.Result.Selected selected -> send(selected, sameTarget);
            case TargetSelection.Result.NoTarget noTarget -> failWithoutTarget();
            case TargetSelection.Result.RateLimited limited ->
                    failBeforeSend(
                            CallFailures.rateLimited(
                                    mService, limited.waitMillis(), mCall.remainingMillis()));
            case TargetSelection.Result.Refused refused -> failBeforeSend(refused.refusal());
        }
    }

    private void send(TargetSelection.Result.Selected selected, boolean sameTarget) {
        PlacedTarget placed = selected.target();
        Optional<Hedging> hedging = mCall.context().hedging();
        if (hedging.isPresent() && mSends.sendCount() == 0 && mCall.route().isRepeatable()) {
            hedging.get().schedule().recordRequest();
        }
        Attempt attempt = makeAttempt(placed, selected.permitWaitMillis(), sameTarget);
        mCurrentAttempt = Optional.of(attempt);
        if (mHedge.isPresent() && !mSends.mayHaveRun()) {
            mHedge.get().observe(attempt, placed.choice());
        }
        attempt.send(requestHead(placed.handle()), mBody.retainedDuplicate());
    }

    private Attempt makeAttempt(
            PlacedTarget placed, OptionalLong permitWaitMillis, boolean sameTarget) {
        mSends.recordSend();
        mCall.log()
                .placed(
                        placed.handle(),
                        placed.choice(),
                        sameTarget,
                        permitWaitMillis,
                        mSends.sendCount(),
                        mCall.remainingMillis(),
                        mTurn,
                        mCall.progress());
        Attempt attempt =
                new Attempt(mCall, this, placed, mTurn.isPresent() && !mCall.takesUpStream());
        if (mTurn.isPresent() && !sameTarget) {
            mPredictedMillis = (long) placed.choice().predictedCost();
        }
        if (mCall.route().isRepeatable() && mSends.mayStall()) {
            boolean repeatsStalled = sameTarget && mSends.hasStalled();
            new StallDetector(mCall, this, attempt, mPredictedMillis, repeatsStalled).start();
        }
        return attempt;
    }

    private HttpRequest requestHead(TargetHandle handle) {
        return TargetRequestHead.of(
                mRequest.head(),
                mBody.readableBytes(),
                mCall.context().headerCodec(),
                new TargetInstructions(
                        handle.id(),
                        Math.max(1, mCall.remainingMillis()),
                        mUrgency.rankOf(mPredictedMillis),
                        mContinuation.resumeAfter(mCall.progress().lastEventId()),
                        mCaller.identity()));
    }

    private void failWithoutTarget() {
        if (mSends.mayHaveRun() || mCall.progress().isStarted()) {
            failAfterStart("no other target can be tried");
            return;
        }
        mCall.fail(
                mContinuation
                        .refusal()
                        .orElseGet(
                                () ->
                                        CallFailures.noTarget(
                                                mService,
                                                mCall.context().targets().targetCount(mService),
                                                mSends.excludedTargetIds().size())));
    }

    private void failBeforeSend(ResultException refusal) {
        if (mSends.mayHaveRun() || mCall.progress().isStarted()) {
            failAfterStart(refusal.getMessage());
            return;
        }
        mCall.fail(refusal);
    }

    private void failAfterStart(String reason) {
        if (mCall.progress().isStarted()) {
            mCall.abort(ResultCode.TARGET_FAILED, reason);
            return;
        }
        mCall.fail(new ResultException(ResultCode.TARGET_FAILED, Execution.UNKNOWN, reason, 0));
    }

    // Callbacks of attempts

    /** Handles an attempt whose target has been silent for longer than its load explains. */
    void onStalled(Attempt attempt, long silentMillis) {
        TargetHandle handle = attempt.handle();
        mSends.recordStall();
        boolean hung = !mSends.mayStall() || mCall.context().targets().isFailing(handle);
        mCall.context().targets().recordNoResponse(handle, attempt.sentNanos(), System.nanoTime());
        logEvent("target stalled", handle, "no data for " + silentMillis + " ms");
        mSends.recordMayHaveRun(handle);
        if (leaveToOther(attempt)) {
            attempt.cancel();
            return;
        }
        NextStep step = nextStep(new AttemptEnd.Stalled(hung));
        if (step instanceof NextStep.KeepWaiting) {
            return;
        }
        attempt.cancel();
        String reason = hung ? "target " + handle.id() + " does not answer" : "stalled";
        follow(step, handle, reason);
    }

    /** Handles a response that states that the target has not run the request. */
    void onRefused(Attempt attempt, int status) {
        attempt.removeFromLoad();
        mSends.recordRefusal();
        TargetHandle handle = attempt.handle();
        boolean otherIncarnation = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
        mReports.refused(handle, otherIncarnation);
        mSends.exclude(handle);
        logEvent("target refused", handle, "status " + status);
        if (leaveToOther(attempt)) {
            return;
        }
        follow(
                nextStep(new AttemptEnd.Refused(otherIncarnation)),
                handle,
                "refused with status " + status);
    }

    /** Handles an attempt that ended without a complete, valid response. */
    void onFailed(Attempt attempt, OutboundFailure failure) {
        attempt.removeFromLoad();
        TargetHandle handle = attempt.handle();
        logEvent("target failed", handle, failure.name().toLowerCase(Locale.ROOT));
        mReports.failed(handle, failure);
        if (!failure.mayHaveRun()) {
            mSends.exclude(handle);
            if (leaveToOther(attempt)) {
                return;
            }
            follow(
                    nextStep(new AttemptEnd.NotReached(failure.isUnreachable())),
                    handle,
                    "not reached: " + failure);
            return;
        }
        mSends.recordMayHaveRun(handle);
        mCrashGuard.watch(attempt);
        if (leaveToOther(attempt)) {
            return;
        }
        follow(nextStep(new AttemptEnd.BrokenOff()), handle, failure.toString());
    }

    /**
     * Handles the head of a response that is not a stream of events.
     *
     * @return whether the response is to be given to the caller; if not, the attempt has ended
     */
    boolean onAnswer(Attempt attempt, int status) {
        TargetHandle handle = attempt.handle();
        mSends.recordMayHaveRun(handle);
        // Only a stream is kept, so nothing else may look like a turn that was answered whole.
        boolean unkeptTurn =
                mHistory.isPresent() && HttpStatusClass.valueOf(status) == HttpStatusClass.SUCCESS;
        if (unkeptTurn) {
            onFailed(attempt, OutboundFailure.MALFORMED);
            return false;
        }
        boolean failed = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        // A failure of one target must not hide the response of the other one.
        if (failed && leaveToOther(attempt)) {
            recordOutcome(attempt, status);
            logEvent("target failed", handle, "status " + status);
            return false;
        }
        NextStep step = nextStep(new AttemptEnd.Answered());
        if (step instanceof NextStep.ForwardResponse) {
            onResponseBegun(attempt, !failed);
            return true;
        }
        recordOutcome(attempt, status);
        String reason = "status " + status + " instead of the rest of the response";
        logEvent("target failed", handle, reason);
        follow(step, handle, reason);
        return false;
    }

    /**
     * Handles the beginning of the response that is given to the caller, and cancels the other
     * attempt if there is one. Has an effect only once in a call.
     *
     * @param succeeded whether the response reports no failure of the target
     */
    void onResponseBegun(Attempt winner, boolean succeeded) {
        if (mHedge.isEmpty()) {
            return;
        }
        Optional<Attempt> loser =
                isPresent(mSecondAttempt, winner) ? mCurrentAttempt : mSecondAttempt;
        loser.ifPresent(
                attempt -> {
                    mSends.recordMayHaveRun(attempt.handle());
                    attempt.cancel();
                });
        mCurrentAttempt = Optional.of(winner);
        mSecondAttempt = Optional.empty();
        mCall.log().recordPrediction(winner.predictedMillis(), winner.sentNanos());
        mHedge.get().onResponseBegun(winner, loser, succeeded);
    }

    /**
     * Records an event of a target.
     *
     * @return whether it is to be forwarded to the caller
     */
    boolean recordEvent(EventSplitter.Event event, Attempt attempt) {
        if (mCall.progress().eventCount() == 0) {
            onResponseBegun(attempt, true);
        }
        mContinuation.recordEvent(attempt.handle(), mCall.remainingMillis());
        mCall.progress().recordEvent(event.id(), System.nanoTime());
        mHistory.ifPresent(history -> history.recordEvent(event));
        return !mContinuation.isKnownToCaller(event);
    }

    /** Handles a stream whose last event was forwarded, before the response has ended. */
    void onStreamComplete(Attempt attempt, int status) {
        if (mHistory.isEmpty()) {
            mCall.writer().end();
            onResponseForwarded(attempt, status);
            return;
        }
        recordOutcome(attempt, status);
        // The target's connection may be in use by another call from now on.
        mCurrentAttempt = Optional.empty();
        mCall.keepTurn(mHistory.get(), status);
    }

    /** Handles a response that was forwarded completely, whatever its status code. */
    void onResponseForwarded(Attempt attempt, int status) {
        recordOutcome(attempt, status);
        mCurrentAttempt = Optional.empty();
        mCall.complete(status);
    }

    // Helpers

    private Optional<CallHedge> makeHedge() {
        Optional<Hedging> hedging = mCall.context().hedging();
        if (hedging.isEmpty()
                || !HedgeRequest.mayBeHedged(
                        mCall.route().isRepeatable(),
                        mCall.continuesConversation(),
                        mCall.route().maxAttempts())) {
            return Optional.empty();
        }
        return Optional.of(new CallHedge(mCall, this, hedging.get(), mTurn));
    }

    private static boolean isPresent(Optional<Attempt> running, Attempt attempt) {
        return running.isPresent() && running.get().equals(attempt);
    }

    /**
     * Leaves the call to the other attempt if two are running and the given one has ended without a
     * usable response. Returns false if there is no other one.
     */
    private boolean leaveToOther(Attempt ended) {
        if (mSecondAttempt.isEmpty()) {
            return false;
        }
        if (isPresent(mCurrentAttempt, ended)) {
            mCurrentAttempt = mSecondAttempt;
            mHedge.ifPresent(CallHedge::stop);
        }
        mSecondAttempt = Optional.empty();
        mSends.exclude(ended.handle());
        return true;
    }

    private void recordOutcome(Attempt attempt, int status) {
        mCrashGuard.recordAnswer();
        attempt.removeFromLoad();
        mReports.answered(attempt.handle(), status, attempt.sentNanos());
    }

    private NextStep nextStep(AttemptEnd end) {
        boolean sendAllowed =
                mSends.maySendAgain()
                        && mCall.remainingMillis() >= MIN_REMAINING_TO_RETRY_MILLIS
                        && !mCrashGuard.isQuarantined();
        return ContinuationPolicy.next(
                new CallProgress(
                        mCall.progress().forwardedPart(),
                        mCall.route().isRepeatable(),
                        mSends.allowsOtherTarget(),
                        sendAllowed),
                end);
    }

    private void follow(NextStep step, TargetHandle handle, String reason) {
        mCurrentAttempt = Optional.empty();
        mHedge.ifPresent(CallHedge::stop);
        switch (step) {
            case NextStep.SendToOtherTarget other -> {
                mSends.exclude(handle);
                retry(Optional.empty(), reason);
            }
            case NextStep.SendToSameTarget same -> retry(Optional.of(handle), reason);
            case NextStep.GiveUp giveUp -> giveUp(reason);
            case NextStep.ForwardResponse forward -> {}
            case NextStep.KeepWaiting wait -> {}
        }
    }

    private void giveUp(String reason) {
        if (mSends.mayHaveRun() || mCall.progress().isStarted()) {
            failAfterStart(reason);
            return;
        }
        failWithoutTarget();
    }

    private void retry(Optional<TargetHandle> sameTarget, String reason) {
        mCall.context()
                .metrics()
                .recordDecision("retry", sameTarget.isPresent() ? "same target" : "other target");
        logEvent("retrying", null, reason);
        dispatch(sameTarget);
    }

    private void logEvent(String event, TargetHandle handle, String reason) {
        mCall.logEvent(event, Optional.ofNullable(handle), reason);
    }
}
