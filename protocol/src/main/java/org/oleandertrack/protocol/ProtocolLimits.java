package org.oleandertrack.protocol;

/**
 * Size limits and timeouts of a connection. Immutable.
 *
 * @param maxFrameBytes largest frame accepted, in bytes
 * @param maxBodyBytes largest request body accepted, in bytes
 * @param responseWindowBytes response body bytes that the peer may send for one call before this
 *     process grants more credit
 * @param maxUnsentBytes largest number of unsent bytes per connection, including those that wait
 *     for credit
 * @param handshakeTimeoutMillis timeout for opening the TCP connection, and then for the arrival of
 *     the peer's Hello
 * @param heartbeatIntervalMillis interval at which the connecting side sends heartbeats
 * @param idleTimeoutMillis time without a received frame, or without write progress, after which
 *     the connection is closed
 */
public record ProtocolLimits(
        int maxFrameBytes,
        int maxBodyBytes,
        int responseWindowBytes,
        int maxUnsentBytes,
        int handshakeTimeoutMillis,
        int heartbeatIntervalMillis,
        int idleTimeoutMillis) {

    /** Returns the default limits. */
    public static ProtocolLimits defaults() {
        return new ProtocolLimits(1 << 20, 8 << 20, 256 << 10, 32 << 20, 5_000, 1_000, 5_000);
    }

    /** Returns a copy of these limits with a different {@code maxFrameBytes}. */
    public ProtocolLimits withMaxFrameBytes(int maxFrameBytes) {
        return new ProtocolLimits(
                maxFrameBytes,
                maxBodyBytes,
                responseWindowBytes,
                maxUnsentBytes,
                handshakeTimeoutMillis,
                heartbeatIntervalMillis,
                idleTimeoutMillis);
    }
}
