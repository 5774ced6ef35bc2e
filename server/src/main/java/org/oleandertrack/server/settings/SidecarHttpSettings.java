package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;

/** The sidecar's HTTP port for health and metrics. Immutable after loading. */
public final class SidecarHttpSettings {

    @JsonProperty("address")
    @NotNull
    @IpAddress
    private String mAddress;

    @JsonProperty("adminPort")
    @Min(0)
    @Max(65_535)
    private int mAdminPort = 8_082;

    // Accessors

    /** Returns the IP address on which the admin port listens. */
    public String address() {
        return mAddress;
    }

    /** Returns the TCP port for health and metrics; 0 for any free port. */
    public int adminPort() {
        return mAdminPort;
    }
}
