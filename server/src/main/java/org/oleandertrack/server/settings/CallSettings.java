package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;

/** Default timeouts and token limits of calls. Immutable after loading. */
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

    /** Returns the timeout in milliseconds of a call that does not request one. */
    public int defaultTimeoutMillis() {
        return mDefaultTimeoutMillis;
    }

    /**
     * Returns the time without data, in milliseconds, after which a response is aborted as stalled.
     */
    public int stallTimeoutMillis() {
        return mStallTimeoutMillis;
    }

    /** Returns the completion tokens that are reserved for a call that sets no limit. */
    public int defaultMaxTokens() {
        return mDefaultMaxTokens;
    }
}
