package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.AssertTrue;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;

/**
 * Port and limits of the inner protocol, which connects entry hosts with each other and with
 * sidecars. Immutable after loading.
 */
public final class PeerSettings {

    @JsonProperty("address")
    @NotNull
    @IpAddress
    private String mAddress;

    @JsonProperty("port")
    @Min(0)
    @Max(65_535)
    private int mPort = 7_400;

    @JsonProperty("maxFrameBytes")
    @Min(16_384)
    @Max(16_777_216)
    private int mMaxFrameBytes = 1_048_576;

    @JsonProperty("heartbeatMillis")
    @Min(20)
    @Max(10_000)
    private int mHeartbeatMillis = 1_000;

    @JsonProperty("idleMillis")
    @Min(50)
    @Max(60_000)
    private int mIdleMillis = 5_000;

    // Accessors

    /** Returns the IP address on which the inner protocol listens. */
    public String address() {
        return mAddress;
    }

    /** Returns the TCP port of the inner protocol; 0 for any free port. */
    public int port() {
        return mPort;
    }

    /** Returns the largest accepted frame size in bytes. */
    public int maxFrameBytes() {
        return mMaxFrameBytes;
    }

    /** Returns the interval between the heartbeats on a connection in milliseconds. */
    public int heartbeatMillis() {
        return mHeartbeatMillis;
    }

    /** Returns the time without a frame, in milliseconds, after which a peer is unreachable. */
    public int idleMillis() {
        return mIdleMillis;
    }

    // Checks

    @AssertTrue(message = "idleMillis: at least twice heartbeatMillis")
    boolean isIdleMillisSufficient() {
        return mIdleMillis >= 2L * mHeartbeatMillis;
    }
}
