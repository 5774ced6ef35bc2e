package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;

/**
 * A request that was read whole.
 *
 * @param head method, target and headers as received
 * @param body the whole body; owned by the connection until the response has ended
 * @param firstByteNanos monotonic time of the request's first byte
 * @param remote address of the peer
 */
public record InboundRequest(
        HttpRequest head, ByteBuf body, long firstByteNanos, InetSocketAddress remote) {}
