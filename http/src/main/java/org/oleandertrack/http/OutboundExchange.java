package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to a request. All methods are called on the connection's event loop.
 * Exactly one of {@link #onEnd} and {@link #onFailure} is called last, unless the exchange is
 * cancelled by {@link OutboundConnection#close}.
 */
public interface OutboundExchange {

    /**
     * Receives the head of a response.
     *
     * @return whether the response belongs to this request; if not, it is skipped, and this method
     *     is called again for the next response on the connection
     */
    boolean onHead(HttpResponse head);

    /** Receives a part of the body. The buffer is valid only until this method returns. */
    void onContent(ByteBuf part);

    /**
     * All bytes that were read from the connection at once have been passed on. What they cause to
     * be written to others can be written now, together.
     */
    default void onReadComplete() {}

    /** The response is complete. If the connection is reusable, it can take another request. */
    void onEnd();

    /** The exchange failed, and the connection is closed or about to be closed. */
    void onFailure(OutboundFailure failure);
}
