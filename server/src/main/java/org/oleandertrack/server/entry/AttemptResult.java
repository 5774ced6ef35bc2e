package org.oleandertrack.server.entry;

import java.util.Optional;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Load;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.Usage;

/** How one attempt ended. */
sealed interface AttemptResult {

    /**
     * The response is complete.
     *
     * @param usage tokens and run time that the sidecar reported
     * @param load load of the target at the end, if the sidecar reported it
     */
    record Completed(Usage usage, Optional<Load> load) implements AttemptResult {}

    /**
     * The attempt failed.
     *
     * @param execution whether the attempt was run
     * @param retryAfterMillis suggested wait before a retry; 0 for none
     * @param usage tokens and run time used before the failure
     * @param load load of the target at the end, if the sidecar reported it
     */
    record Failed(
            ResultCode code,
            Execution execution,
            String message,
            long retryAfterMillis,
            Usage usage,
            Optional<Load> load)
            implements AttemptResult {

        static Failed of(ResultCode code, Execution execution, String message) {
            return new Failed(
                    code, execution, message, 0, Usage.getDefaultInstance(), Optional.empty());
        }

        ResultException toException() {
            return new ResultException(code, execution, message, retryAfterMillis);
        }
    }

    /** Converts the end of a response that a peer sent. */
    static AttemptResult ofEnd(ResponseEnd end) {
        Optional<Load> load = end.hasLoad() ? Optional.of(end.getLoad()) : Optional.empty();
        if (end.getResultCode() == 0) {
            return new Completed(end.getUsage(), load);
        }
        return new Failed(
                ResultCode.fromNumber(end.getResultCode()).orElse(ResultCode.INTERNAL_ERROR),
                Executions.fromProtocol(end.getExecution()),
                end.getMessage(),
                end.getRetryAfterMillis(),
                end.getUsage(),
                load);
    }

    /**
     * Returns the result of an attempt whose connection closed before the end of the response.
     *
     * @param mayHaveArrived false only if the peer cannot have received the whole call
     * @param headReceived whether the response had started, which proves that the call was run
     */
    static Failed ofConnectionLoss(boolean mayHaveArrived, boolean headReceived) {
        if (!mayHaveArrived) {
            return Failed.of(
                    ResultCode.TARGET_UNREACHABLE,
                    Execution.NOT_RUN,
                    "the connection closed before the call was sent");
        }
        return Failed.of(
                ResultCode.ATTEMPT_LOST,
                headReceived ? Execution.RUN : Execution.UNKNOWN,
                ResultCode.ATTEMPT_LOST.summary());
    }
}
