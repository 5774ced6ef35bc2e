package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.oleandertrack.core.attempt.AttemptEnd;
import org.oleandertrack.core.attempt.CallProgress;
import org.oleandertrack.core.attempt.ContinuationPolicy;
import org.oleandertrack.core.attempt.NextStep;
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
 * Sends the request of one call to targets, and decides what follows when an attempt ends. Confined
 * to the call's event loop.
 */
final class CallDispatcher {

    // With less time left, a resumed stream, which starts after tens of ms, would come too late.
    private static final long MIN_REMAINING_TO_RETRY_MILLIS = 50;

    private final Call mCall;
    private final InboundRequest mRequest;
    private final String mService;
    private final Optional<TurnRequest> mTurn;
    private final Optional<CallHistory> mHistory;
    private final CrashGuard mCrashGuard;
    private final StreamContinuation mContinuation;
    private final TargetSelection mSelection;
    private final SendHistory mSends;
    private final TargetReports mReports;
    private Optional<Attempt> mCurrentAttempt = Optional.empty();
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
            InboundRequest request,
            String service,
            Optional<TurnRequest> turn,
            Optional<CallHistory> history,
            CrashGuard crashGuard,
            StreamContinuation continuation) {
        mCall = call;
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
                        call.log());
    }

    // Accessors

    SendHistory sends() {
        return mSends;
    }

    /** Returns whether a target may have run the request or may be running it. */
    boolean mayHaveRun() {
        return mCurrentAttempt.isPresent() || mSends.mayHaveRun();
    }

    boolean isCurrent(Attempt attempt) {
        return !mCall.hasEnded()
                && mCurrentAttempt.isPresent()
                && mCurrentAttempt.get().equals(attempt);
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
    }

    /** Cancels what is running. Called when the call ends before its response does. */
    void cancel() {
        mCurrentAttempt.ifPresent(Attempt::cancel);
        mCurrentAttempt = Optional.empty();
    }

    // Dispatch

    /** Sends the request to the given target again, or to a target that placement chooses. */
    private void dispatch(Optional<TargetHandle> target) {
        // A target that leaves takes nothing new, and no other one may run what it may have run.
        boolean targetLeaves = target.filter(TargetHandle::isLeaving).isPresent();
        Optional<TargetFilter> filter = mContinuation.targetsExcept(mSends.excludedTargetIds());
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
                    failWithoutPermit(limited.waitMillis());
            case TargetSelection.Result.Stopping stopping ->
                    mCall.fail(CallFailures.shuttingDown());
        }
    }

    private void send(TargetSelection.Result.Selected selected, boolean sameTarget) {
        PlacedTarget placed = selected.target();
        mSends.recordSend();
        TargetHandle handle = placed.handle();
        mCall.log()
                .placed(
                        handle,
                        placed.choice(),
                        sameTarget,
                        selected.permitWaitMillis(),
                        mSends.sendCount(),
                        mCall.remainingMillis(),
                        mTurn,
                        mCall.progress());
        Attempt attempt = new Attempt(mCall, this, handle);
        mCurrentAttempt = Optional.of(attempt);
        if (mTurn.isPresent() && !sameTarget) {
            mPredictedMillis = (long) placed.choice().predictedCost();
        }
        if (mCall.route().isRepeatable() && mSends.mayStall()) {
            new StallDetector(mCall, this, attempt, mPredictedMillis).start();
        }
        attempt.send(
                TargetRequestHead.of(
                        mRequest.head(),
                        mBody.readableBytes(),
                        mCall.context().headerCodec(),
                        new TargetInstructions(
                                handle.id(),
                                Math.max(1, mCall.remainingMillis()),
                                OptionalInt.empty(),
                                mContinuation.resumeAfter(mCall.progress().lastEventId()))),
                mBody.retainedDuplicate());
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

    private void failWithoutPermit(long waitMillis) {
        if (mSends.mayHaveRun() || mCall.progress().isStarted()) {
            failAfterStart("no other target can be tried");
            return;
        }
        mCall.fail(CallFailures.rateLimited(mService, waitMillis, mCall.remainingMillis()));
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
            follow(
                    nextStep(new AttemptEnd.NotReached(failure.isUnreachable())),
                    handle,
                    "not reached: " + failure);
            return;
        }
        mSends.recordMayHaveRun(handle);
        mCrashGuard.watch(attempt);
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
        NextStep step = nextStep(new AttemptEnd.Answered());
        if (step instanceof NextStep.ForwardResponse) {
            return true;
        }
        recordOutcome(attempt, status);
        String reason = "status " + status + " instead of the rest of the response";
        logEvent("target failed", handle, reason);
        follow(step, handle, reason);
        return false;
    }

    /**
     * Records an event of a target.
     *
     * @return whether it is to be forwarded to the caller
     */
    boolean recordEvent(EventSplitter.Event event, Attempt attempt) {
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
