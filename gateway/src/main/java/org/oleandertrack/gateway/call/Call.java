package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.conversation.KeepOutcome;
import org.oleandertrack.coordination.conversation.TurnLookup;
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

    // Limit on the number of times that one call is sent, including sends that a target refuses.
    private static final int MAX_SENDS = 5;
    // How long to avoid a target that is unreachable or has restarted as another incarnation.
    private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(1);
    // How long to avoid a target with a full queue; the target ends several requests in 100 ms.
    private static final long FULL_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    // With less time left, a resumed stream, which starts after tens of ms, would come too late.
    private static final long MIN_REMAINING_TO_RETRY_MILLIS = 50;
    // A stalled call is sent again. After this many stalls, its latest target is considered hung.
    private static final int MAX_STALLS = 2;

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
    private final Set<String> mExcludedTargetIds = new HashSet<>();
    private final Set<String> mMayHaveRunTargetIds = new HashSet<>();
    private ScheduledFuture<?> mTimeoutTimer;
    private Optional<Attempt> mCurrentAttempt = Optional.empty();
    private int mSendCount;
    private int mRefusalCount;
    private boolean mEnded;
    private boolean mMayHaveRun;
    private int mStallCount;
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
        Optional<TargetFilter> filter = mContinuation.targetsExcept(mExcludedTargetIds);
        if (targetLeaves || filter.isEmpty()) {
            failWithoutTarget();
            return;
        }
        Optional<TargetHandle> required = target.filter(handle -> !handle.isRemoved());
        long maxPermitWaitMillis =
                mMayHaveRun
                        ? PermitPatience.maxWaitMillisOfStarted(remainingMillis())
                        : PermitPatience.maxWaitMillis(
                                mRoute.latencyObjectiveMillis(),
                                mRoute.priority(),
                                remainingMillis());
        mSelection.select(
                required,
                filter.get(),
                maxPermitWaitMillis,
                !mMayHaveRun && !mProgress.isStarted(),
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
        mSendCount++;
        TargetHandle handle = placed.handle();
        mLog.placed(
                handle,
                placed.choice(),
                sameTarget,
                selected.permitWaitMillis(),
                mSendCount,
                remainingMillis(),
                mTurn,
                mProgress);
        Attempt attempt = new Attempt(this, handle);
        mCurrentAttempt = Optional.of(attempt);
        mSentNanos = System.nanoTime();
        if (mTurn.isPresent() && !sameTarget) {
            mPredictedMillis = (long) placed.choice().predictedCost();
        }
        if (mRoute.isRepeatable() && mStallCount < MAX_STALLS) {
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
                                OptionalInt.empty(),
                                mContinuation.resumeAfter(mProgress.lastEventId()))),
                mBody.retainedDuplicate());
    }

    private void failWithoutTarget() {
        if (mMayHaveRun || mProgress.isStarted()) {
            failAfterStart();
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
                                                mExcludedTargetIds.size())));
    }

    private void failWithoutPermit(long waitMillis) {
        if (mMayHaveRun || mProgress.isStarted()) {
            failAfterStart();
            return;
        }
        fail(CallFailures.rateLimited(mService, waitMillis, remainingMillis()));
    }

    private void failAfterStart() {
        if (mProgress.isStarted()) {
            abort("no other target can resume the stream");
            return;
        }
        fail(ResultCode.TARGET_FAILED, Execution.UNKNOWN, "no other target can be tried", 0);
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
        mStallCount++;
        boolean hung = mStallCount >= MAX_STALLS || mContext.targets().isFailing(handle);
        mContext.targets().recordNoResponse(handle, mSentNanos, nowNanos);
        logEvent("target stalled", handle, "no data for " + silentMillis + " ms");
        boolean mayUseOtherTarget = mayRunAtOtherTarget(handle);
        if (hung && !mayUseOtherTarget && mProgress.isStarted()) {
            // No other target may resume the partly forwarded stream, so this attempt continues.
            return;
        }
        mMayHaveRun = true;
        mMayHaveRunTargetIds.add(handle.id());
        attempt.cancel();
        if (mayUseOtherTarget) {
            mExcludedTargetIds.add(handle.id());
            retry(Optional.empty(), "stalled");
            return;
        }
        if (hung) {
            fail(
                    ResultCode.TARGET_FAILED,
                    Execution.UNKNOWN,
                    "target " + handle.id() + " does not answer",
                    0);
            return;
        }
        retry(Optional.of(handle), "stalled");
    }

    private boolean mayRunAtOtherTarget(TargetHandle handle) {
        Set<String> targetIds = new HashSet<>(mMayHaveRunTargetIds);
        targetIds.add(handle.id());
        return targetIds.size() < mRoute.maxAttempts();
    }

    // Callbacks of attempts

    /** Handles a response that states that the target has not run the request. */
    void onRefused(Attempt attempt, int status) {
        attempt.removeFromLoad();
        mRefusalCount++;
        TargetHandle handle = attempt.handle();
        boolean otherIncarnation = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
        mContext.targets()
                .avoid(
                        handle,
                        System.nanoTime() + (otherIncarnation ? AVOID_NANOS : FULL_AVOID_NANOS));
        mContext.targets().recordAbandoned(handle);
        mExcludedTargetIds.add(handle.id());
        logEvent("target refused", handle, "status " + status);
        retry(Optional.empty(), "refused with status " + status);
    }

    /** Handles an attempt that ended without a complete, valid response. */
    void onFailed(Attempt attempt, OutboundFailure failure) {
        attempt.removeFromLoad();
        TargetHandle handle = attempt.handle();
        logEvent("target failed", handle, failure.name().toLowerCase(Locale.ROOT));
        mContext.targets()
                .recordFailure(handle, failure.name().toLowerCase(Locale.ROOT), System.nanoTime());
        if (!failure.mayHaveRun()) {
            mContext.targets().avoid(handle, System.nanoTime() + AVOID_NANOS);
            mExcludedTargetIds.add(handle.id());
            retry(Optional.empty(), "not reached: " + failure);
            return;
        }
        mMayHaveRun = true;
        mMayHaveRunTargetIds.add(handle.id());
        mCrashGuard.watch(attempt);
        if (!mRoute.isRepeatable()) {
            if (mProgress.isStarted()) {
                abort("the target's stream failed: " + failure);
            } else {
                fail(ResultCode.TARGET_FAILED, Execution.UNKNOWN, failure.toString(), 0);
            }
            return;
        }
        boolean mayUseOtherTarget = mayRunAtOtherTarget(handle);
        if (mayUseOtherTarget) {
            mExcludedTargetIds.add(handle.id());
        }
        retry(mayUseOtherTarget ? Optional.empty() : Optional.of(handle), failure.toString());
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
        long nowNanos = System.nanoTime();
        if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            mContext.targets().recordFailure(attempt.handle(), "status " + status, nowNanos);
        } else {
            mContext.targets().recordSuccess(attempt.handle(), nowNanos - mSentNanos, nowNanos);
        }
    }

    private void retry(Optional<TargetHandle> sameTarget, String reason) {
        if (mSendCount >= MAX_SENDS
                || remainingMillis() < MIN_REMAINING_TO_RETRY_MILLIS
                || mCrashGuard.isQuarantined()) {
            failWithoutTarget();
            return;
        }
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
        boolean sent = mCurrentAttempt.isPresent() || mMayHaveRun;
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
                        mSendCount,
                        mRefusalCount,
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
                mSendCount,
                mProgress.eventCount(),
                remainingMillis());
    }
}
