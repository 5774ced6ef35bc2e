package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Valid;
import jakarta.validation.constraints.NotNull;

/** Settings of a sidecar, the process beside a target. Immutable after loading. */
public final class SidecarSettings extends NodeSettings {

    @JsonProperty("http")
    @NotNull
    @Valid
    private SidecarHttpSettings mHttp = new SidecarHttpSettings();

    @JsonProperty("target")
    @NotNull
    @Valid
    private TargetSettings mTarget = new TargetSettings();

    // Accessors

    public SidecarHttpSettings http() {
        return mHttp;
    }

    public TargetSettings target() {
        return mTarget;
    }
}
