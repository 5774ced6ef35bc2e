package org.oleandertrack.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Factory methods for small responses. */
public final class HttpResponses {

    private HttpResponses() {}

    /** Returns a response with a text body, encoded as UTF-8. */
    public static FullHttpResponse text(
            HttpResponseStatus status, String contentType, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        if (bytes.length > 0) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        return response;
    }

    /** Returns a response without a body. */
    public static FullHttpResponse empty(HttpResponseStatus status) {
        return text(status, "", "");
    }

    static FullHttpResponse continueResponse() {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }
}
