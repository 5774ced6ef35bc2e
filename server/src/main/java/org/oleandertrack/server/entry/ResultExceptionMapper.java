package org.oleandertrack.server.entry;

import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.gateway.call.ErrorBody;

/** Converts the failure of a call into an HTTP response. Thread safe. */
public final class ResultExceptionMapper implements ExceptionMapper<ResultException> {

    @Override
    public Response toResponse(ResultException failure) {
        Response.ResponseBuilder builder =
                Response.status(failure.code().httpStatus())
                        .type(MediaType.APPLICATION_JSON_TYPE)
                        .header(ErrorBody.RESULT_CODE_HEADER, failure.code().number())
                        .header(ErrorBody.EXECUTION_HEADER, failure.execution().text())
                        .entity(ErrorBody.asJson(failure));
        failure.retryAfterMillis()
                .ifPresent(millis -> builder.header("Retry-After", secondsRoundedUp(millis)));
        return builder.build();
    }

    private static long secondsRoundedUp(long millis) {
        return TimeUnit.MILLISECONDS.toSeconds(millis + 999);
    }
}
