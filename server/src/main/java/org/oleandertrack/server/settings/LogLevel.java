package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The lowest severity that is written to the log. */
public enum LogLevel {
    @JsonProperty("trace")
    TRACE,
    @JsonProperty("debug")
    DEBUG,
    @JsonProperty("info")
    INFO,
    @JsonProperty("warn")
    WARN,
    @JsonProperty("error")
    ERROR
}
