package org.oleandertrack.server.entry;

import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.core.StreamingOutput;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Header;
import org.oleandertrack.protocol.message.ResponseHead;
import org.tinylog.Logger;

/** Runs calls and streams their responses to HTTP callers as they arrive. Thread safe. */
final class CallResponder {

    private static final String CHUNKED = "chunked";

    private final CallService mCalls;
    private final CallLimiter mLimiter;
    private final Executor mExecutor;

    CallResponder(CallService calls, CallLimiter limiter, Executor executor) {
        mCalls = calls;
        mLimiter = limiter;
        mExecutor = executor;
    }

    /**
     * Runs a call on another thread. Blocks until the status and headers from the target arrive;
     * the body is streamed by the returned response.
     *
     * @throws ResultException if the call is refused or fails before they arrive
     */
    Response respond(CallerRequest request) {
        ResponsePipe pipe = new ResponsePipe();
        CallLimiter.Permit permit = mLimiter.acquire(request.body().size());
        start(pipe, request, permit);
        ResponseHead head = pipe.awaitHead();
        Response.ResponseBuilder builder = Response.status(head.getStatus());
        for (Header header : head.getHeadersList()) {
            builder.header(header.getName(), header.getValue());
        }
        if (mayHaveBody(head.getStatus()) && !hasLength(head)) {
            // Without chunks, the end of the connection would complete a response that broke off.
            builder.header(HttpHeader.TRANSFER_ENCODING.asString(), CHUNKED);
        }
        return builder.entity((StreamingOutput) pipe::writeTo).build();
    }

    private static boolean mayHaveBody(int status) {
        return status != HttpStatus.NO_CONTENT_204 && status != HttpStatus.NOT_MODIFIED_304;
    }

    private static boolean hasLength(ResponseHead head) {
        return head.getHeadersList().stream()
                .anyMatch(
                        header ->
                                HttpHeader.CONTENT_LENGTH
                                        .asString()
                                        .equalsIgnoreCase(header.getName()));
    }

    private void start(ResponsePipe pipe, CallerRequest request, CallLimiter.Permit permit) {
        try {
            mExecutor.execute(() -> runInto(pipe, request, permit));
        } catch (RejectedExecutionException e) {
            permit.close();
            throw new ResultException(
                    ResultCode.SHUTTING_DOWN, "the call could not be started: " + e.getMessage());
        }
    }

    private void runInto(ResponsePipe pipe, CallerRequest request, CallLimiter.Permit permit) {
        try (permit) {
            mCalls.run(request, pipe);
        } catch (ResultException e) {
            pipe.fail(e);
        } catch (RuntimeException e) {
            Logger.error(e, "unexpected failure of a call to {}", request.destination());
            pipe.fail(
                    new ResultException(
                            ResultCode.INTERNAL_ERROR, Execution.UNKNOWN, e.toString(), 0));
        }
    }
}
