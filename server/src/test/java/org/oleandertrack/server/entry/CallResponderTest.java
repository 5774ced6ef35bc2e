package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Tests that a failed call releases its permit and reports its failure. */
final class CallResponderTest {

    private final CallLimiter mLimiter = new CallLimiter(1, 1_000);

    /** Guards against a refused call that keeps its permit or loses its result code. */
    @Test
    void refusalIsThrownAndReleasesThePermit() {
        ResultException refusal = new ResultException(ResultCode.OVERLOADED, "full");
        CallResponder responder =
                new CallResponder(
                        (request, sink) -> {
                            throw refusal;
                        },
                        mLimiter,
                        Runnable::run);
        assertEquals(refusal, assertRespondThrows(responder, ResultException.class));
        assertEquals(0, mLimiter.calls());
    }

    /** Guards against an internal error that is reported as not run. */
    @Test
    void unexpectedFailureIsInternalErrorWithUnknownExecution() {
        CallResponder responder =
                new CallResponder(
                        (request, sink) -> {
                            throw new IllegalStateException("unexpected");
                        },
                        mLimiter,
                        Runnable::run);
        ResultException failure = assertRespondThrows(responder, ResultException.class);
        assertEquals(ResultCode.INTERNAL_ERROR, failure.code());
        assertEquals(Execution.UNKNOWN, failure.execution());
        assertEquals(0, mLimiter.calls());
    }

    /** Guards against a permit that is never released because the call could not be started. */
    @Test
    void rejectedTaskReleasesThePermit() {
        CallResponder responder =
                new CallResponder(
                        (request, sink) -> {},
                        mLimiter,
                        task -> {
                            throw new RejectedExecutionException("stopped");
                        });
        ResultException failure = assertRespondThrows(responder, ResultException.class);
        assertEquals(ResultCode.SHUTTING_DOWN, failure.code());
        assertEquals(Execution.NOT_RUN, failure.execution());
        assertEquals(0, mLimiter.calls());
    }

    private static <T extends Throwable> T assertRespondThrows(
            CallResponder responder, Class<T> type) {
        return assertThrows(type, () -> responder.respond(TestRequests.serviceCall(true, 1_000)));
    }
}
