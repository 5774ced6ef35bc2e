package org.oleandertrack.server.entry;

import com.google.inject.Provider;
import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.CallHandler;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;
import org.tinylog.Logger;

/** Runs calls and operators' statements that other entry hosts forward. Thread safe. */
final class ForwardedCallHandler implements CallHandler {

    private static final int STATUS_OK = 200;

    private final ShardDirectory mShards;
    private final CallService mLocalCalls;
    private final Provider<StatementService> mStatements;
    private final CallLimiter mLimiter;
    private final Executor mExecutor;
    private final LongSupplier mNanoClock;

    ForwardedCallHandler(
            ShardDirectory shards,
            CallService localCalls,
            Provider<StatementService> statements,
            CallLimiter limiter,
            Executor executor,
            LongSupplier nanoClock) {
        mShards = shards;
        mLocalCalls = localCalls;
        mStatements = statements;
        mLimiter = limiter;
        mExecutor = executor;
        mNanoClock = nanoClock;
    }

    // Operations

    @Override
    public void onCall(InboundCall call) {
        mExecutor.execute(() -> runOrRefuse(call));
    }

    // Helpers

    private void runOrRefuse(InboundCall call) {
        try {
            requireInTime(call);
            runLimited(call);
        } catch (ResultException e) {
            call.respondEnd(toResponseEnd(e));
        } catch (RuntimeException e) {
            Logger.error(e, "unexpected failure of a forwarded call");
            call.respondEnd(
                    toResponseEnd(
                            new ResultException(
                                    ResultCode.INTERNAL_ERROR,
                                    Execution.UNKNOWN,
                                    e.toString(),
                                    0)));
        }
    }

    private void runLimited(InboundCall call) {
        CallLimiter.Permit permit = mLimiter.acquire(call.body().size());
        try (permit) {
            if (call.head().getPath().equals(PeerStatementClient.PATH)) {
                respondToStatement(call);
                return;
            }
            requireHolder(call);
            mLocalCalls.run(
                    CallHeadConverter.toRequest(call.head(), call.body()), new PeerSink(call));
        }
    }

    private void requireInTime(InboundCall call) {
        if (mNanoClock.getAsLong() > call.head().getStartDeadlineReceiverNanos()) {
            throw new ResultException(
                    ResultCode.DEADLINE_EXCEEDED,
                    "the start deadline had passed when the forwarded call arrived");
        }
    }

    private void requireHolder(InboundCall call) {
        if (!mShards.isHeldHere(call.head().getShard())) {
            throw new ResultException(
                    ResultCode.NOT_SHARD_HOLDER,
                    "shard " + call.head().getShard() + " is not held here");
        }
    }

    private void respondToStatement(InboundCall call) {
        byte[] json = runStatement(call).toJson();
        PeerSink sink = new PeerSink(call);
        sink.writeHead(ResponseHead.newBuilder().setStatus(STATUS_OK).build());
        sink.writeBody(ByteString.copyFrom(json));
        sink.end();
    }

    private StatementResult runStatement(InboundCall call) {
        return mStatements
                .get()
                .runLocally(call.body().toStringUtf8(), call.head().getOrganisation());
    }

    private static ResponseEnd toResponseEnd(ResultException failure) {
        return ResponseEnd.newBuilder()
                .setResultCode(failure.code().number())
                .setExecution(Executions.toProtocol(failure.execution()))
                .setMessage(failure.getMessage())
                .setRetryAfterMillis(failure.retryAfterMillis().orElse(0L))
                .build();
    }

    /** Sends a response to the entry host that forwarded the call. */
    private static final class PeerSink implements ResponseSink {

        private final InboundCall mCall;
        private boolean mHeadSent;

        PeerSink(InboundCall call) {
            mCall = call;
        }

        @Override
        public void writeHead(ResponseHead head) {
            mHeadSent = true;
            mCall.respondHead(head);
        }

        @Override
        public void writeBody(ByteString data) {
            try {
                mCall.respondBody(data).join();
            } catch (CompletionException e) {
                throw new ResultException(
                        ResultCode.CANCELLED,
                        Execution.RUN,
                        "the forwarding entry host cancelled the call",
                        0);
            }
        }

        @Override
        public void end() {
            mCall.respondEnd(
                    ResponseEnd.newBuilder()
                            .setExecution(Executions.toProtocol(Execution.RUN))
                            .build());
        }

        @Override
        public boolean isUnsent() {
            return !mHeadSent;
        }

        @Override
        public CompletableFuture<Void> cancelled() {
            return mCall.cancelled();
        }
    }
}
