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
     * The target answered in full.
     *
     * @param usage tokens and times that the sidecar reported
     * @param load the sidecar's load at the end
     */
    record Completed(Usage usage, Optional<Load> load) implements AttemptResult {}

    /**
     * The attempt failed.
     *
     * @param retryAfterMillis suggested wait, 0 for none
     * @param usage what was used before the failure
     * @param load the sidecar's load at the end, if it reported one
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

    /** Reads the end that a peer sent. */
    static AttemptResult ofEnd(ResponseEnd end) {
        Optional<Load> load = end.hasLoad() ? Optional.of(end.getLoad()) : Optional.empty();
        if (end.getResultCode() == 0) {
            return new Completed(end.getUsage(), load);
        }
        return new Failed(
                ResultCode.fromNumber(end.getResultCode()).orElse(ResultCode.INTERNAL_ERROR),
                Executions.fromMessage(end.getExecution()),
                end.getMessage(),
                end.getRetryAfterMillis(),
                end.getUsage(),
                load);
    }

    /** Reads the loss of the connection. */
    static Failed ofLoss(boolean mayHaveArrived, boolean headReceived) {
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
