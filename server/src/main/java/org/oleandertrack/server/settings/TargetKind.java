package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What stands behind a sidecar. */
public enum TargetKind {
    /** An engine that answers model calls. */
    @JsonProperty("model")
    MODEL,
    /** A plain service. */
    @JsonProperty("service")
    SERVICE
}
