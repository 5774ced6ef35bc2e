package org.oleandertrack.gateway.call;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import org.oleandertrack.core.result.ResultException;

/** Makes the answers that the gateway gives itself. */
public final class OwnAnswers {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final CallDialect mDialect;

    /** Creates a maker of answers in a dialect. */
    public OwnAnswers(CallDialect dialect) {
        mDialect = dialect;
    }

    /** Returns the answer to a request that is refused or has failed. */
    public FullHttpResponse failure(ResultException failure, String requestId) {
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
            mDialect.writeRequestId(response.headers(), requestId);
        }
        failure.retryAfterMillis()
                .ifPresent(
                        millis ->
                                response.headers()
                                        .set(HttpHeaderNames.RETRY_AFTER, seconds(millis)));
        return response;
    }

    private static String seconds(long millis) {
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }
}
