package org.oleandertrack.server.settings;

import org.oleandertrack.protocol.ProtocolLimits;

/** Derives the bounds of the inner protocol's connections from the settings. */
public final class PeerLimits {

    private PeerLimits() {}

    /** Returns the bounds; what the settings leave open keeps its default. */
    public static ProtocolLimits from(PeerSettings settings) {
        ProtocolLimits defaults = ProtocolLimits.defaults();
        return new ProtocolLimits(
                settings.maxFrameBytes(),
                defaults.maxBodyBytes(),
                defaults.responseWindowBytes(),
                defaults.maxUnsentBytes(),
                defaults.handshakeMillis(),
                settings.heartbeatMillis(),
                settings.idleMillis());
    }
}
