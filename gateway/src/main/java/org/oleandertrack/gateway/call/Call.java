package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.conversation.KeepResult;
import org.oleandertrack.coordination.conversation.StoreReceipt;
import org.oleandertrack.coordination.conversation.TurnLookup;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.traffic.EngineSpec;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.ServiceSpec;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.core.turn.TurnRequest;
import org.oleandertrack.gateway.targets.TargetHandle;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.ResponseWriter;

/**
 * Handles one call: prepares its request, has it sent to targets, and ends it towards its caller.
 * Confined to the event loop of the caller's connection.
 */
final class Call implements ResponseWriter.Listener {

    private final CallContext mContext;
    private final TrafficConfig mConfig;
    private final Route mRoute;
    private final CallMetadata mMetadata;
    private final AdmittedCaller mCaller;
    private final InboundRequest mRequest;
    private final ResponseWriter mWriter;
    private final CallBudget mBudget;
    private final Optional<CallHistory> mHistory;
    private final CallLog mLog;
    private final CrashGuard mCrashGuard;
    private final StreamContinuation mContinuation;
    private final CallDispatcher mDispatcher;
    private final StreamProgress mProgress = new StreamProgress();
    private ScheduledFuture<?> mTimeoutTimer;
    private boolean mEnded;

    Call(
            CallContext context,
            TrafficConfig config,
            Route route,
            CallMetadata metadata,
            AdmittedCaller caller,
            InboundRequest request,
            ResponseWriter writer) {
        mContext = context;
        mConfig = config;
        mRoute = route;
        mMetadata = metadata;
        mCaller = caller;
        mRequest = request;
        mWriter = writer;
        String service = route.serviceFor(metadata.routingKey());
        Optional<EngineSpec> engine =
                Optional.ofNullable(config.services().get(service)).flatMap(ServiceSpec::engine);
        Optional<TurnRequest> turn =
                engine.flatMap(spec -> metadata.turn())
                        .map(stated -> stated.toTurnRequest(metadata.program(), metadata.scope()));
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
        mCrashGuard = new CrashGuard(context, request, metadata, writer.eventLoop(), mLog);
        mContinuation =
                new StreamContinuation(context, route, metadata, service, writer.eventLoop(), mLog);
        mDispatcher =
                new CallDispatcher(
                        this,
                        caller,
                        context.urgency()
                                .forCall(config, route, metadata, request.firstByteNanos()),
                        request,
                        service,
                        turn,
                        mHistory,
                        mCrashGuard,
                        mContinuation);
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
        mDispatcher.cancel();
        end(ResultCode.CANCELLED.name(), "the caller closed its connection");
    }

    @Override
    public void onShutdown() {
        endEarly(EarlyEnd.atShutdown());
    }

    @Override
    public void onWritabilityChanged(boolean writable) {
        mDispatcher.setReading(writable);
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

    /** Returns whether the request is a turn that continues a stored conversation. */
    boolean continuesConversation() {
        return mHistory.isPresent() && mMetadata.previousTurnId().isPresent();
    }

    /** Returns whether the request takes up a stream of an earlier one. */
    boolean takesUpStream() {
        return mMetadata.takeUp().isPresent();
    }

    boolean hasEnded() {
        return mEnded;
    }

    long remainingMillis() {
        long elapsedNanos = System.nanoTime() - mRequest.firstByteNanos();
        return mMetadata.limitMillis(mRoute) - TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
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
            reserve(mRequest.body());
            return;
        }
        mHistory.get().find(this::onHistory);
    }

    private void onHistory(TurnLookup lookup) {
        if (mEnded) {
            return;
        }
        switch (lookup) {
            case TurnLookup.Found found -> reserve(mHistory.get().requestBody());
            case TurnLookup.NotFound notFound ->
                    fail(CallFailures.previousTurnNotFound(mMetadata.previousTurnId().orElse("")));
            case TurnLookup.Unavailable unavailable ->
                    fail(CallFailures.historyUnavailable(unavailable.reason()));
        }
    }

    /** Keeps a turn whose last event was forwarded, and ends its response afterwards. */
    void keepTurn(CallHistory history, int status) {
        // A turn counts for the caller from the end of its response, so it is kept before.
        history.keep(result -> onKeepEnded(result, status));
    }

    private void onKeepEnded(KeepResult result, int status) {
        if (mEnded) {
            mHistory.get().forget();
            return;
        }
        switch (result) {
            case KeepResult.Kept kept -> endKept(kept.receipt(), status);
            case KeepResult.NotKept notKept -> {
                end(ResultCode.TURN_NOT_KEPT.name(), notKept.reason());
                mWriter.abort();
            }
        }
    }

    private void endKept(StoreReceipt receipt, int status) {
        mWriter.end();
        end("OK", "status " + status + ", turn " + receipt.turnId() + " stored");
    }

    // Budget

    /** Reserves tokens, and has the request sent with the given body. */
    private void reserve(ByteBuf body) {
        mBudget.reserve(
                () ->
                        logEvent(
                                "reservation late",
                                Optional.empty(),
                                "the store has not answered in time"),
                refusal -> refusal.ifPresentOrElse(this::fail, () -> mDispatcher.start(body)));
    }

    // End

    /** Ends the call after its response was forwarded completely. */
    void complete(int status) {
        end("OK", "status " + status);
    }

    private void onTimeout() {
        endEarly(EarlyEnd.atDeadline());
    }

    private void endEarly(EarlyEnd earlyEnd) {
        if (mEnded) {
            return;
        }
        boolean sent = mDispatcher.mayHaveRun();
        mDispatcher.cancel();
        if (mProgress.isStarted()) {
            abort(earlyEnd.abortResult(), earlyEnd.abortReason());
            return;
        }
        fail(sent ? earlyEnd.sentFailure() : earlyEnd.unsentFailure());
    }

    /** Ends the call with an error response. */
    void fail(ResultException failure) {
        if (mEnded) {
            return;
        }
        end(failure.code().name(), failure.getMessage());
        mCaller.onFailure(failure);
        mWriter.respond(
                mContext.gatewayResponses().makeErrorResponse(failure, mMetadata.requestId()));
    }

    /** Ends the call by breaking off its response. */
    void abort(ResultCode result, String reason) {
        if (mEnded) {
            return;
        }
        end(result.name(), reason);
        mWriter.abort();
    }

    private void end(String result, String reason) {
        mEnded = true;
        mTimeoutTimer.cancel(false);
        mBudget.settle(mProgress.eventCount());
        long durationNanos = System.nanoTime() - mRequest.firstByteNanos();
        mContext.metrics().recordEnd(mRoute.kind(), result, durationNanos);
        mLog.answered(
                new CallLog.Summary(
                        result,
                        reason,
                        mConfig.version(),
                        durationNanos,
                        mDispatcher.sends().sendCount(),
                        mDispatcher.sends().refusalCount(),
                        mProgress,
                        mRequest.firstByteNanos(),
                        mBudget.reservation()));
    }

    /** Logs an event of the call with its numbers of sends and events. */
    void logEvent(String event, Optional<TargetHandle> handle, String reason) {
        mLog.event(
                event,
                handle,
                reason,
                mDispatcher.sends().sendCount(),
                mProgress.eventCount(),
                remainingMillis());
    }
}
