package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;

/** Where the platform's services are and how long they may take. Immutable after loading. */
public final class PlatformSettings {

    @JsonProperty("tableUrl")
    @NotNull
    @HttpUrl
    private String mTableUrl;

    @JsonProperty("objectUrl")
    @NotNull
    @HttpUrl
    private String mObjectUrl;

    @JsonProperty("hostsUrl")
    @NotNull
    @HttpUrl
    private String mHostsUrl;

    @JsonProperty("timeoutMillis")
    @Min(20)
    @Max(60_000)
    private int mTimeoutMillis = 2_000;

    @JsonProperty("hostsPollMillis")
    @Min(20)
    @Max(60_000)
    private int mHostsPollMillis = 1_000;

    // Accessors

    /** Returns the base URL of the table service. */
    public String tableUrl() {
        return mTableUrl;
    }

    /** Returns the base URL of the object store. */
    public String objectUrl() {
        return mObjectUrl;
    }

    /** Returns the base URL of the host list. */
    public String hostsUrl() {
        return mHostsUrl;
    }

    /** Returns the time allowed for one request to the platform in milliseconds. */
    public int timeoutMillis() {
        return mTimeoutMillis;
    }

    /** Returns the time between two reads of the host list in milliseconds. */
    public int hostsPollMillis() {
        return mHostsPollMillis;
    }
}
