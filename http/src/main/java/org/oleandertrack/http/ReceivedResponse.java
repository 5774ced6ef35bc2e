package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response to a call of {@link PooledHttpClient}.
 *
 * @param status HTTP status code
 * @param headers headers of the response
 * @param body the complete body
 */
public record ReceivedResponse(int status, HttpHeaders headers, ByteBuf body) {}
