package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;

/** Defaults and limits for calls. Immutable after loading. */
public final class CallSettings {

    @JsonProperty("defaultTimeoutMillis")
    @Min(50)
    @Max(3_600_000)
    private int mDefaultTimeoutMillis = 60_000;

    @JsonProperty("stallTimeoutMillis")
    @Min(50)
    @Max(600_000)
    private int mStallTimeoutMillis = 15_000;

    @JsonProperty("defaultMaxTokens")
    @Min(1)
    @Max(1_000_000)
    private int mDefaultMaxTokens = 1_024;

    // Accessors

    /** Returns the time allowed for a call that names none in milliseconds. */
    public int defaultTimeoutMillis() {
        return mDefaultTimeoutMillis;
    }

    /** Returns the silence in an answer after which it ends as stalled, in milliseconds. */
    public int stallTimeoutMillis() {
        return mStallTimeoutMillis;
    }

    /** Returns the completion tokens reserved for a call that names no limit. */
    public int defaultMaxTokens() {
        return mDefaultMaxTokens;
    }
}
