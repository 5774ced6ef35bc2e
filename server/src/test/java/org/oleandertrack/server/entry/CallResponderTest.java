package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** A call whose answer cannot be given out must end and give its place back. */
final class CallResponderTest {

    private final CallLimiter mLimiter = new CallLimiter(1, 1_000);

    /** Guards against a refusal that keeps its place or loses its code. */
    @Test
    void refusalIsThrownAndGivesThePlaceBack() {
        ResultException refusal = new ResultException(ResultCode.OVERLOADED, "full");
        CallResponder responder =
                new CallResponder(
                        (request, sink) -> {
                            throw refusal;
                        },
                        mLimiter,
                        Runnable::run);
        assertEquals(refusal, respondFailing(responder, ResultException.class));
        assertEquals(0, mLimiter.calls());
    }

    /** Guards against a fault of the server that reads as not run. */
    @Test
    void unexpectedFailureIsUnknown() {
        CallResponder responder =
                new CallResponder(
                        (request, sink) -> {
                            throw new IllegalStateException("unexpected");
                        },
                        mLimiter,
                        Runnable::run);
        ResultException failure = respondFailing(responder, ResultException.class);
        assertEquals(ResultCode.INTERNAL_ERROR, failure.code());
        assertEquals(Execution.UNKNOWN, failure.execution());
        assertEquals(0, mLimiter.calls());
    }

    /** Guards against a place that stays taken when the call cannot be started. */
    @Test
    void rejectedTaskGivesThePlaceBack() {
        CallResponder responder =
                new CallResponder(
                        (request, sink) -> {},
                        mLimiter,
                        task -> {
                            throw new RejectedExecutionException("stopped");
                        });
        ResultException failure = respondFailing(responder, ResultException.class);
        assertEquals(ResultCode.SHUTTING_DOWN, failure.code());
        assertEquals(Execution.NOT_RUN, failure.execution());
        assertEquals(0, mLimiter.calls());
    }

    private static <T extends Throwable> T respondFailing(CallResponder responder, Class<T> type) {
        return assertThrows(type, () -> responder.respond(Requests.serviceCall(true, 1_000)));
    }
}
