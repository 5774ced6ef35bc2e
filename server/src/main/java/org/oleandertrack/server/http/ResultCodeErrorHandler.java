package org.oleandertrack.server.http;

import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.gateway.call.ErrorBody;

/**
 * Writes the error response of requests that fail before they reach a resource, for example because
 * of oversized headers. Like all other errors of the daemon, it carries a {@link ResultCode}.
 * Thread safe.
 */
final class ResultCodeErrorHandler extends ErrorHandler {

    @Override
    protected void generateResponse(
            Request request,
            Response response,
            int status,
            String message,
            Throwable cause,
            Callback callback) {
        ResultException failure = new ResultException(codeFor(status), describe(status, message));
        byte[] body = ErrorBody.asJson(failure);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(ErrorBody.RESULT_CODE_HEADER, failure.code().number());
        response.getHeaders().put(ErrorBody.EXECUTION_HEADER, failure.execution().text());
        Content.Sink.write(response, true, new String(body, StandardCharsets.UTF_8), callback);
    }

    private static ResultCode codeFor(int status) {
        return switch (status) {
            case HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431 -> ResultCode.HEADER_TOO_LARGE;
            case HttpStatus.PAYLOAD_TOO_LARGE_413 -> ResultCode.BODY_TOO_LARGE;
            case HttpStatus.SERVICE_UNAVAILABLE_503 -> ResultCode.SHUTTING_DOWN;
            case HttpStatus.NOT_FOUND_404, HttpStatus.METHOD_NOT_ALLOWED_405 ->
                    ResultCode.UNKNOWN_PATH;
            default ->
                    HttpStatus.isClientError(status)
                            ? ResultCode.INVALID_REQUEST
                            : ResultCode.INTERNAL_ERROR;
        };
    }

    private static String describe(int status, String message) {
        return message == null || message.isEmpty() ? HttpStatus.getMessage(status) : message;
    }
}
