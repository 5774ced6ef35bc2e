package org.oleandertrack.server.entry;

import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.tinylog.Logger;

/**
 * Converts failures other than {@link ResultException} into HTTP responses with a result code, and
 * logs internal errors. Thread safe.
 */
public final class UnexpectedExceptionMapper implements ExceptionMapper<Throwable> {

    private static final int STATUS_UNSUPPORTED_MEDIA_TYPE = 415;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_METHOD_NOT_ALLOWED = 405;

    private final ResultExceptionMapper mMapper = new ResultExceptionMapper();

    @Override
    public Response toResponse(Throwable failure) {
        return mMapper.toResponse(
                failure instanceof WebApplicationException web
                        ? fromRejection(web)
                        : fromInternalError(failure));
    }

    /**
     * Converts a rejection by Jersey, which happens before a resource is called: nothing was run.
     */
    private static ResultException fromRejection(WebApplicationException failure) {
        ResultCode code =
                switch (failure.getResponse().getStatus()) {
                    case STATUS_NOT_FOUND, STATUS_METHOD_NOT_ALLOWED -> ResultCode.UNKNOWN_PATH;
                    case STATUS_UNSUPPORTED_MEDIA_TYPE -> ResultCode.INVALID_HEADER;
                    default -> ResultCode.INVALID_REQUEST;
                };
        return new ResultException(code, failure.getMessage());
    }

    private static ResultException fromInternalError(Throwable failure) {
        Logger.error(failure, "unexpected failure of a request");
        return new ResultException(
                ResultCode.INTERNAL_ERROR, Execution.UNKNOWN, failure.toString(), 0);
    }
}
