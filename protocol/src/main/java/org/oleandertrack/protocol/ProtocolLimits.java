package org.oleandertrack.protocol;

/**
 * Bounds of a connection. Immutable.
 *
 * @param maxFrameBytes largest frame accepted, in bytes
 * @param maxBodyBytes largest request body accepted, in bytes
 * @param responseWindowBytes response bytes that may be on their way for one call
 * @param maxUnsentBytes bytes that may wait for a peer that does not read, per connection
 * @param handshakeTimeoutMillis time allowed for the peer's first frame
 * @param heartbeatMillis time between heartbeats on a connection
 * @param idleMillis time without any frame after which the peer counts as unreachable
 */
public record ProtocolLimits(
        int maxFrameBytes,
        int maxBodyBytes,
        int responseWindowBytes,
        int maxUnsentBytes,
        int handshakeTimeoutMillis,
        int heartbeatMillis,
        int idleMillis) {

    /** Returns the bounds used unless the settings say otherwise. */
    public static ProtocolLimits defaults() {
        return new ProtocolLimits(1 << 20, 8 << 20, 256 << 10, 32 << 20, 5_000, 1_000, 5_000);
    }

    /** Returns the same bounds with another largest frame. */
    public ProtocolLimits withMaxFrameBytes(int maxFrameBytes) {
        return new ProtocolLimits(
                maxFrameBytes,
                maxBodyBytes,
                responseWindowBytes,
                maxUnsentBytes,
                handshakeTimeoutMillis,
                heartbeatMillis,
                idleMillis);
    }
}
