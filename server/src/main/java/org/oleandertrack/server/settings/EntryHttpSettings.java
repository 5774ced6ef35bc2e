package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.AssertTrue;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;

/** HTTP ports of an entry host and limits of the requests to them. Immutable after loading. */
public final class EntryHttpSettings {

    @JsonProperty("address")
    @NotNull
    @IpAddress
    private String mAddress;

    @JsonProperty("port")
    @Min(0)
    @Max(65_535)
    private int mPort = 8_080;

    @JsonProperty("adminPort")
    @Min(0)
    @Max(65_535)
    private int mAdminPort = 8_081;

    @JsonProperty("maxHeaderBytes")
    @Min(1_024)
    @Max(65_536)
    private int mMaxHeaderBytes = 16_384;

    @JsonProperty("maxBodyBytes")
    @Min(1_024)
    @Max(67_108_864)
    private int mMaxBodyBytes = 8_388_608;

    @JsonProperty("maxConcurrentCalls")
    @Min(1)
    @Max(100_000)
    private int mMaxConcurrentCalls = 4_000;

    @JsonProperty("maxBufferedBytes")
    @Min(65_536)
    @Max(4_294_967_296L)
    private long mMaxBufferedBytes = 33_554_432;

    // Accessors

    /** Returns the IP address on which both HTTP ports listen. */
    public String address() {
        return mAddress;
    }

    /** Returns the TCP port for calls and operator commands; 0 for any free port. */
    public int port() {
        return mPort;
    }

    /** Returns the TCP port for health and metrics; 0 for any free port. */
    public int adminPort() {
        return mAdminPort;
    }

    /** Returns the largest accepted size of the request headers in bytes. */
    public int maxHeaderBytes() {
        return mMaxHeaderBytes;
    }

    /** Returns the largest accepted request body in bytes. */
    public int maxBodyBytes() {
        return mMaxBodyBytes;
    }

    /** Returns the number of calls that may be in progress at once. */
    public int maxConcurrentCalls() {
        return mMaxConcurrentCalls;
    }

    /** Returns the total size in bytes of the bodies that the process may buffer at once. */
    public long maxBufferedBytes() {
        return mMaxBufferedBytes;
    }

    // Checks

    @AssertTrue(message = "maxBufferedBytes: at least maxBodyBytes")
    boolean isMaxBufferedBytesSufficient() {
        return mMaxBufferedBytes >= mMaxBodyBytes;
    }
}
