package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to a request, on the connection's event loop. After {@link #onHead} has
 * accepted a response, exactly one of {@link #onEnd} and {@link #onFailure} follows, unless the
 * exchange was cancelled.
 */
public interface OutboundExchange {

    /**
     * Receives the head of a response.
     *
     * @return false if the response answers another request; it is then skipped, and the next one
     *     on the connection is offered
     */
    boolean onHead(HttpResponse head);

    /** Receives a part of the body, which is valid during the call only. */
    void onContent(ByteBuf part);

    /** The response is whole. The connection can take a next request if it is reusable. */
    void onEnd();

    /** The exchange failed, and the connection is closed. */
    void onFailure(OutboundFailure failure);
}
