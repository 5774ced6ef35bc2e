package org.oleandertrack.gateway.call;

import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * How a call ends that neither its target nor its caller ends.
 *
 * @param abortResult result that is logged if a part of the response was already forwarded
 * @param abortReason reason that is logged in that case
 * @param sentFailure response if the request was sent, so that it may have run
 * @param unsentFailure response if the request was not sent
 */
record EarlyEnd(
        ResultCode abortResult,
        String abortReason,
        ResultException sentFailure,
        ResultException unsentFailure) {

    static EarlyEnd atDeadline() {
        return new EarlyEnd(
                ResultCode.TARGET_FAILED,
                "time is up",
                CallFailures.noResponse(),
                CallFailures.overloaded());
    }

    static EarlyEnd atShutdown() {
        ResultException stopped = CallFailures.stoppedDuringCall();
        return new EarlyEnd(
                stopped.code(), stopped.getMessage(), stopped, CallFailures.shuttingDown());
    }
}
