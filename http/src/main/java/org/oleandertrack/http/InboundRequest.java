package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;

/**
 * A completely received request.
 *
 * @param head method, URI and headers as received
 * @param body the complete body; owned by the connection, which releases it when the response has
 *     ended
 * @param firstByteNanos arrival of the request's first byte, as {@link System#nanoTime}
 * @param remote address of the client
 */
public record InboundRequest(
        HttpRequest head, ByteBuf body, long firstByteNanos, InetSocketAddress remote) {}
