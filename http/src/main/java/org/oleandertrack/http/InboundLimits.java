package org.oleandertrack.http;

/**
 * Limits on the size of requests and on the time that clients take to send them.
 *
 * @param maxHeaderBytes largest size of the request line, and of all headers together
 * @param maxBodyBytes largest size of a body
 * @param headerTimeoutMillis longest time from a request's first byte to the end of its headers
 * @param idleTimeoutMillis longest time without received bytes, within a request or between two
 */
public record InboundLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
