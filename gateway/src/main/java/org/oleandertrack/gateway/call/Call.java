package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.conversation.KeepOutcome;
import org.oleandertrack.coordination.conversation.TurnLookup;
import org.oleandertrack.core.attempt.AttemptEnd;
import org.oleandertrack.core.attempt.CallProgress;
import org.oleandertrack.core.attempt.ContinuationPolicy;
import org.oleandertrack.core.attempt.NextStep;
import org.oleandertrack.core.rate.PermitPatience;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.traffic.EngineSpec;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.ServiceSpec;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.core.turn.TurnRequest;
import org.oleandertrack.gateway.targets.PlacedTarget;
import org.oleandertrack.gateway.targets.TargetFilter;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.OutboundFailure;
import org.oleandertrack.http.ResponseWriter;

/**
 * Handles one call: reserves tokens, sends the request to a target, forwards the response, and
 * retries when a target refuses or fails. Confined to the event loop of the caller's connection.
 */
final class Call implements ResponseWriter.Listener {

    // With less time left, a resumed stream, which starts after tens of ms, would come too late.
    private static final long MIN_REMAINING_TO_RETRY_MILLIS = 50;

    private final CallContext mContext;
    private final TrafficConfig mConfig;
    private final Route mRoute;
    private final CallMetadata mMetadata;
    private final InboundRequest mRequest;
    private final ResponseWriter mWriter;
    private final String mService;
    private final Optional<TurnRequest> mTurn;
    private final CallBudget mBudget;
    private final Optional<CallHistory> mHistory;
    private final CallLog mLog;
    private final TargetSelection mSelection;
    private final CrashGuard mCrashGuard;
    private final StreamContinuation mContinuation;
    private final SendHistory mSends;
    private final TargetReports mReports;
    private final CallUrgency mUrgency;
    private ScheduledFuture<?> mTimeoutTimer;
    private Optional<Attempt> mCurrentAttempt = Optional.empty();
    private boolean mEnded;
    private long mPredictedMillis;
    private long mSentNanos;
    private StreamProgress mProgress = new StreamProgress();
    private ByteBuf mBody;

    Call(
            CallContext context,
            TrafficConfig config,
            Route route,
            CallMetadata metadata,
            InboundRequest request,
            ResponseWriter writer) {
        mContext = context;
        mConfig = config;
        mRoute = route;
        mMetadata = metadata;
        mRequest = request;
        mWriter = writer;
        mSends = new SendHistory(route.maxAttempts());
        mReports = new TargetReports(context.targets());
        mUrgency = context.urgency().forCall(config, route, metadata, request.firstByteNanos());
        mService = route.serviceFor(metadata.routingKey());
        Optional<EngineSpec> engine =
                Optional.ofNullable(config.services().get(mService)).flatMap(ServiceSpec::engine);
        mTurn =
                engine.flatMap(spec -> metadata.turn())
                        .map(turn -> turn.toTurnRequest(metadata.program()));
        mBudget =
                new CallBudget(
                        context.spending(),
                        metadata,
                        engine.map(EngineSpec::tokensPerEvent).orElse(1),
                        writer.eventLoop());
        mLog = new CallLog(context.log(), context.metrics(), route, metadata);
        mHistory =
                route.keepsHistory() && !metadata.requestId().isEmpty()
                        ? Optional.of(
                                new CallHistory(
                                        context.conversations(),
                                        metadata,
                                        route.retentionMillis(),
                                        request.body(),
                                        writer.eventLoop(),
                                        mLog))
                        : Optional.empty();
        mBody = request.body();
        mCrashGuard =
                new CrashGuard(
                        context, request, metadata.previousTurnId(), writer.eventLoop(), mLog);
        mContinuation =
                new StreamContinuation(
                        context, route, metadata, mService, writer.eventLoop(), mLog);
        mSelection =
                new TargetSelection(
                        context,
                        writer.eventLoop(),
                        mService,
                        mTurn,
                        route.isRepeatable(),
                        () -> mEnded,
                        () -> context.stopAdmission().maySend(route, remainingMillis()),
                        mLog);
    }

    // Life-cycle

    void start() {
        mContext.metrics().recordStart();
        mWriter.setListener(this);
        mTimeoutTimer =
                mWriter.eventLoop()
                        .schedule(this::onTimeout, remainingMillis(), TimeUnit.MILLISECONDS);
        if (mCrashGuard.isQuarantined()) {
            fail(CallFailures.quarantined());
            return;
        }
        mContinuation.begin(this::onContinuation);
    }

    @Override
    public void onClosed() {
        if (mEnded) {
            return;
        }
        mCurrentAttempt.ifPresent(Attempt::cancel);
        end(ResultCode.CANCELLED.name(), "the caller closed its connection");
    }

    @Override
    public void onShutdown() {
        endEarly(EarlyEnd.atShutdown());
    }

    @Override
    public void onWritabilityChanged(boolean writable) {
        mCurrentAttempt.ifPresent(attempt -> attempt.setReading(writable));
    }

    // Accessors

    HttpMethod method() {
        return mRequest.head().method();
    }

    Route route() {
        return mRoute;
    }

    CallContext context() {
        return mContext;
    }

    ResponseWriter writer() {
        return mWriter;
    }

    StreamProgress progress() {
        return mProgress;
    }

    CallLog log() {
        return mLog;
    }

    String requestId() {
        return mMetadata.requestId();
    }

    // Stream

    private void onContinuation(Optional<ResultException> refusal) {
        if (mEnded) {
            return;
        }
        refusal.ifPresentOrElse(this::fail, this::findHistory);
    }

    // History

    private void findHistory() {
        if (mHistory.isEmpty()) {
            reserveOrDispatch();
            return;
        }
        mHistory.get().find(this::onHistory);
    }

    private void onHistory(TurnLookup lookup) {
        if (mEnded) {
            return;
        }
        switch (lookup) {
            case TurnLookup.Found found -> {
                mBody = mHistory.get().requestBody();
                reserveOrDispatch();
            }
            case TurnLookup.NotFound notFound ->
                    fail(CallFailures.previousTurnNotFound(mMetadata.previousTurnId().orElse("")));
            case TurnLookup.Unavailable unavailable ->
                    fail(CallFailures.historyUnavailable(unavailable.reason()));
        }
    }

    /**
     * Records an event of a target.
     *
     * @return whether it is to be forwarded to the caller
     */
    boolean recordEvent(EventSplitter.Event event, TargetHandle handle) {
        mContinuation.recordEvent(handle, remainingMillis());
        mProgress.recordEvent(event.id(), System.nanoTime());
        mHistory.ifPresent(history -> history.recordEvent(event));
        return !mContinuation.isKnownToCaller(event);
    }

    private void onKept(KeepOutcome outcome, int status) {
        if (mEnded) {
            mHistory.get().forget();
            return;
        }
        if (outcome == KeepOutcome.NOT_KEPT) {
            end(ResultCode.TURN_NOT_KEPT.name(), "neither the store nor a peer answered");
            mWriter.abort();
            return;
        }
        mWriter.end();
        end("OK", "status " + status);
    }

    // Budget

    private void reserveOrDispatch() {
        mBudget.reserve(
                () -> logEvent("reservation late", null, "the store has not answered in time"),
                refusal -> refusal.ifPresentOrElse(this::fail, () -> dispatch(Optional.empty())));
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
        long maxPermitWaitMillis =
                mSends.mayHaveRun()
                        ? PermitPatience.maxWaitMillisOfStarted(remainingMillis())
                        : PermitPatience.maxWaitMillis(
                                mRoute.latencyObjectiveMillis(),
                                mRoute.priority(),
                                remainingMillis());
        mSelection.select(
                required,
                filter.get(),
                maxPermitWaitMillis,
                !mSends.mayHaveRun() && !mProgress.isStarted(),
                result -> onSelection(result, required.isPresent()));
    }

    private void onSelection(TargetSelection.Result result, boolean sameTarget) {
        switch (result) {
            case TargetSelection.Result.Selected selected -> send(selected, sameTarget);
            case TargetSelection.Result.NoTarget noTarget -> failWithoutTarget();
            case TargetSelection.Result.RateLimited limited ->
                    failWithoutPermit(limited.waitMillis());
            case TargetSelection.Result.Stopping stopping -> fail(CallFailures.shuttingDown());
        }
    }

    private void send(TargetSelection.Result.Selected selected, boolean sameTarget) {
        PlacedTarget placed = selected.target();
        mSends.recordSend();
        TargetHandle handle = placed.handle();
        mLog.placed(
                handle,
                placed.choice(),
                sameTarget,
                selected.permitWaitMillis(),
                mSends.sendCount(),
                remainingMillis(),
                mTurn,
                mProgress);
        Attempt attempt =
                new Attempt(this, placed, mTurn.isPresent() && mMetadata.takeUp().isEmpty());
        mCurrentAttempt = Optional.of(attempt);
        mSentNanos = System.nanoTime();
        if (mTurn.isPresent() && !sameTarget) {
            mPredictedMillis = (long) placed.choice().predictedCost();
        }
        if (mRoute.isRepeatable() && mSends.mayStall()) {
            new StallDetector(this, attempt, mPredictedMillis).start();
        }
        attempt.send(
                TargetRequestHead.of(
                        mRequest.head(),
                        mBody.readableBytes(),
                        mContext.headerCodec(),
                        new TargetInstructions(
                                handle.id(),
                                Math.max(1, remainingMillis()),
                                mUrgency.rankOf(mPredictedMillis),
                                mContinuation.resumeAfter(mProgress.lastEventId()))),
                mBody.retainedDuplicate());
    }

    private void failWithoutTarget() {
        if (mSends.mayHaveRun() || mProgress.isStarted()) {
            failAfterStart("no other target can be tried");
            return;
        }
        fail(
                mContinuation
                        .refusal()
                        .orElseGet(
                                () ->
                                        CallFailures.noTarget(
                                                mService,
                                                mContext.targets().targetCount(mService),
                                                mSends.excludedTargetIds().size())));
    }

    private void failWithoutPermit(long waitMillis) {
        if (mSends.mayHaveRun() || mProgress.isStarted()) {
            failAfterStart("no other target can be tried");
            return;
        }
        fail(CallFailures.rateLimited(mService, waitMillis, remainingMillis()));
    }

    private void failAfterStart(String reason) {
        if (mProgress.isStarted()) {
            abort(reason);
            return;
        }
        fail(ResultCode.TARGET_FAILED, Execution.UNKNOWN, reason, 0);
    }

    // Stalls

    boolean isCurrent(Attempt attempt) {
        return !mEnded && mCurrentAttempt.isPresent() && mCurrentAttempt.get().equals(attempt);
    }

    long sentNanos() {
        return mSentNanos;
    }

    /** Returns the time since the last send or, if later, the last forwarded event. */
    long silentMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - mProgress.lastActivityNanos(mSentNanos));
    }

    /** Handles an attempt whose target has been silent for longer than its load explains. */
    void onStalled(Attempt attempt, long silentMillis) {
        TargetHandle handle = attempt.handle();
        long nowNanos = System.nanoTime();
        mSends.recordStall();
        boolean hung = !mSends.mayStall() || mContext.targets().isFailing(handle);
        mContext.targets().recordNoResponse(handle, mSentNanos, nowNanos);
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

    // Callbacks of attempts

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

    /** Handles a stream whose last event was forwarded, before the response has ended. */
    void onStreamComplete(Attempt attempt, int status) {
        if (mHistory.isEmpty()) {
            mWriter.end();
            onResponseForwarded(attempt, status);
            return;
        }
        recordOutcome(attempt, status);
        // The target's connection may be in use by another call from now on.
        mCurrentAttempt = Optional.empty();
        // A turn counts for the caller from the end of its response, so it is kept before.
        mHistory.get().keep(outcome -> onKept(outcome, status));
    }

    /** Handles a response that was forwarded completely, whatever its status code. */
    void onResponseForwarded(Attempt attempt, int status) {
        recordOutcome(attempt, status);
        end("OK", "status " + status);
    }

    private void recordOutcome(Attempt attempt, int status) {
        mCrashGuard.recordAnswer();
        attempt.removeFromLoad();
        mReports.answered(attempt.handle(), status, mSentNanos);
    }

    private NextStep nextStep(AttemptEnd end) {
        boolean sendAllowed =
                mSends.maySendAgain()
                        && remainingMillis() >= MIN_REMAINING_TO_RETRY_MILLIS
                        && !mCrashGuard.isQuarantined();
        return ContinuationPolicy.next(
                new CallProgress(
                        mProgress.forwardedPart(),
                        mRoute.isRepeatable(),
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
        if (mSends.mayHaveRun() || mProgress.isStarted()) {
            failAfterStart(reason);
            return;
        }
        failWithoutTarget();
    }

    private void retry(Optional<TargetHandle> sameTarget, String reason) {
        mContext.metrics()
                .recordDecision("retry", sameTarget.isPresent() ? "same target" : "other target");
        logEvent("retrying", null, reason);
        dispatch(sameTarget);
    }

    // End

    private void onTimeout() {
        endEarly(EarlyEnd.atDeadline());
    }

    private void endEarly(EarlyEnd earlyEnd) {
        if (mEnded) {
            return;
        }
        boolean sent = mCurrentAttempt.isPresent() || mSends.mayHaveRun();
        mCurrentAttempt.ifPresent(Attempt::cancel);
        if (mProgress.isStarted()) {
            abort(earlyEnd.abortResult(), earlyEnd.abortReason());
            return;
        }
        fail(sent ? earlyEnd.sentFailure() : earlyEnd.unsentFailure());
    }

    private void fail(ResultCode code, Execution execution, String message, long retryAfterMillis) {
        fail(new ResultException(code, execution, message, retryAfterMillis));
    }

    private void fail(ResultException failure) {
        if (mEnded) {
            return;
        }
        end(failure.code().name(), failure.getMessage());
        mWriter.respond(
                mContext.gatewayResponses().makeErrorResponse(failure, mMetadata.requestId()));
    }

    private void abort(String reason) {
        abort(ResultCode.TARGET_FAILED, reason);
    }

    private void abort(ResultCode result, String reason) {
        if (mEnded) {
            return;
        }
        end(result.name(), reason);
        mWriter.abort();
    }

    private void end(String result, String reason) {
        mEnded = true;
        mTimeoutTimer.cancel(false);
        mCurrentAttempt = Optional.empty();
        mBudget.settle(mProgress.eventCount());
        long durationNanos = System.nanoTime() - mRequest.firstByteNanos();
        mContext.metrics().recordEnd(mRoute.kind(), result, durationNanos);
        mLog.answered(
                new CallLog.Summary(
                        result,
                        reason,
                        mConfig.version(),
                        durationNanos,
                        mSends.sendCount(),
                        mSends.refusalCount(),
                        mProgress,
                        mRequest.firstByteNanos(),
                        mBudget.reservation()));
    }

    // Helpers

    long remainingMillis() {
        long elapsedNanos = System.nanoTime() - mRequest.firstByteNanos();
        return mMetadata.limitMillis(mRoute) - TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
    }

    private void logEvent(String event, TargetHandle handle, String reason) {
        mLog.event(
                event,
                Optional.ofNullable(handle),
                reason,
                mSends.sendCount(),
                mProgress.eventCount(),
                remainingMillis());
    }
}
