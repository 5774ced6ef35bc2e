package org.oleandertrack.http;

/**
 * Bounds of what a client may send and how long it may take.
 *
 * @param maxHeaderBytes largest request line and largest sum of headers
 * @param maxBodyBytes largest body
 * @param headerTimeoutMillis longest time from the first byte to the end of the headers
 * @param idleTimeoutMillis longest time without a byte of a body, or between two requests
 */
public record InboundLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
