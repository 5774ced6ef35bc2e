package org.oleandertrack.gateway.call;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import org.oleandertrack.core.result.ResultException;

/**
 * Creates the responses that the gateway itself gives, for calls that it refuses or that failed.
 */
public final class GatewayResponses {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final HeaderCodec mHeaderCodec;

    /** Creates a factory whose responses carry the request id as the codec encodes it. */
    public GatewayResponses(HeaderCodec headerCodec) {
        mHeaderCodec = headerCodec;
    }

    /** Returns the response to a call that was refused or has failed. */
    public FullHttpResponse makeErrorResponse(ResultException failure, String requestId) {
        byte[] body = ErrorBody.asJson(failure);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(failure.code().httpStatus()),
                        Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(ErrorBody.RESULT_CODE_HEADER, failure.code().number())
                .set(ErrorBody.EXECUTION_HEADER, failure.execution().text());
        if (!requestId.isEmpty()) {
            mHeaderCodec.writeRequestId(response.headers(), requestId);
        }
        failure.retryAfterMillis()
                .ifPresent(
                        millis ->
                                response.headers()
                                        .set(HttpHeaderNames.RETRY_AFTER, formatSeconds(millis)));
        return response;
    }

    private static String formatSeconds(long millis) {
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }
}
