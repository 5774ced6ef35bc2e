package org.oleandertrack.server.settings;

import org.oleandertrack.protocol.ProtocolLimits;

/** Converts the settings of the inner protocol to the limits of its connections. */
public final class PeerLimits {

    private PeerLimits() {}

    /** Returns the limits; those without a setting have their default values. */
    public static ProtocolLimits from(PeerSettings settings) {
        ProtocolLimits defaults = ProtocolLimits.defaults();
        return new ProtocolLimits(
                settings.maxFrameBytes(),
                defaults.maxBodyBytes(),
                defaults.responseWindowBytes(),
                defaults.maxUnsentBytes(),
                defaults.handshakeTimeoutMillis(),
                settings.heartbeatMillis(),
                settings.idleMillis());
    }
}
