package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.dropwizard.core.Configuration;
import jakarta.validation.Valid;
import jakarta.validation.constraints.NotNull;

/**
 * Settings that entry hosts and sidecars have in common. Dropwizard's own sections are not accepted
 * in the file, because the daemons build their servers from the sections declared here. Immutable
 * after loading.
 */
@JsonIgnoreProperties({"server", "logging", "metrics", "admin", "health"})
public abstract sealed class NodeSettings extends Configuration
        permits EntrySettings, SidecarSettings {

    @JsonProperty("node")
    @NotNull
    @Identifier
    private String mNode;

    @JsonProperty("zone")
    @NotNull
    @Identifier
    private String mZone;

    @JsonProperty("peer")
    @NotNull
    @Valid
    private PeerSettings mPeer = new PeerSettings();

    @JsonProperty("log")
    @NotNull
    @Valid
    private LogSettings mLog = new LogSettings();

    // Accessors

    /** Returns the name of the host. */
    public String node() {
        return mNode;
    }

    /** Returns the availability zone of the host. */
    public String zone() {
        return mZone;
    }

    public PeerSettings peer() {
        return mPeer;
    }

    public LogSettings log() {
        return mLog;
    }
}
