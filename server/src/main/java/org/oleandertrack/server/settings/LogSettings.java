package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.NotNull;

/** Settings of the log. Immutable after loading. */
public final class LogSettings {

    @JsonProperty("level")
    @NotNull
    private LogLevel mLevel = LogLevel.INFO;

    // Accessors

    /** Returns the lowest severity that is written. */
    public LogLevel level() {
        return mLevel;
    }
}
