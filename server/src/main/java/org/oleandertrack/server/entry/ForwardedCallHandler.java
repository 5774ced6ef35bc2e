package org.oleandertrack.server.entry;

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

/** Runs calls that other entry hosts pass on to this one as the holder. Thread safe. */
final class ForwardedCallHandler implements CallHandler {

    private final ShardDirectory mShards;
    private final CallService mLocalCalls;
    private final CallLimiter mLimiter;
    private final Executor mExecutor;
    private final LongSupplier mNanoClock;

    ForwardedCallHandler(
            ShardDirectory shards,
            CallService localCalls,
            CallLimiter limiter,
            Executor executor,
            LongSupplier nanoClock) {
        mShards = shards;
        mLocalCalls = localCalls;
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
            requireRunnable(call);
            runLimited(call);
        } catch (ResultException e) {
            call.respondEnd(failure(e));
        } catch (RuntimeException e) {
            Logger.error(e, "unexpected failure of a forwarded call");
            call.respondEnd(
                    failure(
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
            mLocalCalls.run(CallHeads.toRequest(call.head(), call.body()), new PeerSink(call));
        }
    }

    private void requireRunnable(InboundCall call) {
        if (mNanoClock.getAsLong() > call.head().getStartDeadlineReceiverNanos()) {
            throw new ResultException(
                    ResultCode.DEADLINE_EXCEEDED, "the forwarded call arrived too late");
        }
        if (!mShards.isHeldHere(call.head().getShard())) {
            throw new ResultException(
                    ResultCode.NOT_SHARD_HOLDER,
                    "shard " + call.head().getShard() + " is not held here");
        }
    }

    private static ResponseEnd failure(ResultException failure) {
        return ResponseEnd.newBuilder()
                .setResultCode(failure.code().number())
                .setExecution(Executions.toMessage(failure.execution()))
                .setMessage(failure.getMessage())
                .setRetryAfterMillis(failure.retryAfterMillis().orElse(0L))
                .build();
    }

    /** Passes an answer to the entry host that forwarded the call. */
    private static final class PeerSink implements ResponseSink {

        private final InboundCall mCall;
        private boolean mCommitted;

        PeerSink(InboundCall call) {
            mCall = call;
        }

        @Override
        public void head(ResponseHead head) {
            mCommitted = true;
            mCall.respondHead(head);
        }

        @Override
        public void body(ByteString data) {
            try {
                mCall.respondBody(data).join();
            } catch (CompletionException e) {
                throw new ResultException(
                        ResultCode.CANCELLED, Execution.RUN, "the forwarding entry host left", 0);
            }
        }

        @Override
        public void end() {
            mCall.respondEnd(
                    ResponseEnd.newBuilder()
                            .setExecution(Executions.toMessage(Execution.RUN))
                            .build());
        }

        @Override
        public boolean isUncommitted() {
            return !mCommitted;
        }

        @Override
        public CompletableFuture<Void> cancelled() {
            return mCall.cancelled();
        }
    }
}
