package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Kind of the target behind a sidecar. */
public enum TargetKind {
    /** An engine that serves model calls. */
    @JsonProperty("model")
    MODEL,
    /** An HTTP service that is no model engine. */
    @JsonProperty("service")
    SERVICE
}
