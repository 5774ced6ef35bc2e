package org.oleandertrack.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole response.
 *
 * @param status status code
 * @param headers headers of the response
 * @param body the whole body
 */
public record HttpReply(int status, HttpHeaders headers, ByteBuf body) {}
