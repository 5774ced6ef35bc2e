package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;

/**
 * Addresses and timeouts of the platform services: the table service, the object store and the host
 * list. Immutable after loading.
 */
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

    /** Returns the base URL of the service that provides the host list. */
    public String hostsUrl() {
        return mHostsUrl;
    }

    /** Returns the timeout of one request to a platform service in milliseconds. */
    public int timeoutMillis() {
        return mTimeoutMillis;
    }

    /** Returns the interval between two reads of the host list in milliseconds. */
    public int hostsPollMillis() {
        return mHostsPollMillis;
    }
}
