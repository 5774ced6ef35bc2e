package org.oleandertrack.gateway.call;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/** Head of the request that a target receives for a caller's request. */
final class TargetRequestHead {

    private TargetRequestHead() {}

    /**
     * Creates the head.
     *
     * @param callerHead head of the caller's request
     * @param bodyBytes length of the body that the target receives
     */
    static HttpRequest of(
            HttpRequest callerHead,
            int bodyBytes,
            HeaderCodec headerCodec,
            TargetInstructions instructions) {
        DefaultHttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, callerHead.method(), callerHead.uri());
        ForwardedHeaders.copy(callerHead.headers(), head.headers());
        boolean hasBody =
                bodyBytes > 0
                        || callerHead.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || callerHead.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasBody) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        }
        headerCodec.writeInstructions(head.headers(), instructions);
        return head;
    }
}
