package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.CallKind;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;
import org.oleandertrack.protocol.message.Usage;

/** Runs one call over one connection and passes the answer to a sink. Thread safe. */
final class AttemptRunner {

    private static final int FIRST_ERROR_STATUS = 500;

    private final long mStallTimeoutMillis;

    AttemptRunner(long stallTimeoutMillis) {
        mStallTimeoutMillis = stallTimeoutMillis;
    }

    /**
     * Runs an attempt to its end. Blocks.
     *
     * @param sink receives head and body, but not the end
     */
    AttemptResult run(PeerConnection connection, Call head, ByteString body, ResponseSink sink) {
        AttemptStream stream = AttemptStream.start(connection, head, body);
        CompletableFuture<Void> callerGone = sink.cancelled().thenRun(stream::callerGone);
        try {
            return follow(stream, head, sink);
        } finally {
            callerGone.cancel(false);
        }
    }

    private AttemptResult follow(AttemptStream stream, Call head, ResponseSink sink) {
        Execution execution = Execution.UNKNOWN;
        long waitMillis = head.getTimeoutMillis();
        while (true) {
            Optional<AttemptEvent> event = stream.next(waitMillis);
            if (event.isEmpty()) {
                stream.cancel();
                return stalled(execution);
            }
            switch (event.get()) {
                case AttemptEvent.Head received -> {
                    if (isModelError(head, received.head())) {
                        stream.cancel();
                        return targetError(received.head());
                    }
                    execution = Execution.RUN;
                    waitMillis = mStallTimeoutMillis;
                    sink.head(received.head());
                }
                case AttemptEvent.Body received -> passOn(stream, received.data(), sink);
                case AttemptEvent.End received -> {
                    return ended(received.end());
                }
                case AttemptEvent.Lost received -> {
                    return lost(received.mayHaveArrived(), execution);
                }
                case AttemptEvent.CallerGone gone -> {
                    stream.cancel();
                    return failed(ResultCode.CANCELLED, execution, "the caller left");
                }
            }
        }
    }

    private static void passOn(AttemptStream stream, ByteString data, ResponseSink sink) {
        try {
            sink.body(data);
        } catch (ResultException e) {
            stream.cancel();
            throw e;
        }
        stream.consumed(data.size());
    }

    /** A model engine's server error is a failed attempt; a service's answer is passed through. */
    private static boolean isModelError(Call head, ResponseHead response) {
        return head.getKind() == CallKind.CALL_KIND_MODEL
                && response.getStatus() >= FIRST_ERROR_STATUS
                && !head.getForwarded();
    }

    private static AttemptResult targetError(ResponseHead head) {
        return failed(
                ResultCode.TARGET_FAILED,
                Execution.UNKNOWN,
                "the target answered with status " + head.getStatus());
    }

    private AttemptResult stalled(Execution execution) {
        return execution == Execution.RUN
                ? failed(
                        ResultCode.STALLED,
                        execution,
                        "no part of the answer for " + mStallTimeoutMillis + " ms")
                : failed(ResultCode.TARGET_TIMEOUT, execution, "no answer within the time allowed");
    }

    private static AttemptResult lost(boolean mayHaveArrived, Execution execution) {
        return mayHaveArrived
                ? failed(ResultCode.ATTEMPT_LOST, execution, ResultCode.ATTEMPT_LOST.summary())
                : failed(
                        ResultCode.TARGET_UNREACHABLE,
                        Execution.NOT_RUN,
                        "the connection closed before the call was sent");
    }

    private static AttemptResult ended(ResponseEnd end) {
        if (end.getResultCode() == 0) {
            return new AttemptResult.Completed(end.getUsage());
        }
        ResultCode code =
                ResultCode.fromNumber(end.getResultCode()).orElse(ResultCode.INTERNAL_ERROR);
        return new AttemptResult.Failed(
                code,
                Executions.fromMessage(end.getExecution()),
                end.getMessage(),
                end.getRetryAfterMillis(),
                end.getUsage());
    }

    private static AttemptResult failed(ResultCode code, Execution execution, String message) {
        return new AttemptResult.Failed(code, execution, message, 0, Usage.getDefaultInstance());
    }
}
