package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.AssertTrue;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import java.util.List;
import java.util.Optional;

/** Settings of the target behind a sidecar. Immutable after loading. */
public final class TargetSettings {

    @JsonProperty("name")
    @NotNull
    @Identifier
    private String mName;

    @JsonProperty("url")
    @NotNull
    @HttpUrl
    private String mUrl;

    @JsonProperty("kind")
    @NotNull
    private TargetKind mKind = TargetKind.MODEL;

    @JsonProperty("models")
    @NotNull
    @ModelNames
    private List<String> mModels = List.of();

    @JsonProperty("service")
    @Identifier
    private String mService;

    @JsonProperty("maxConcurrentCalls")
    @Min(1)
    @Max(10_000)
    private int mMaxConcurrentCalls = 16;

    @JsonProperty("maxLongCalls")
    @Min(1)
    @Max(10_000)
    private int mMaxLongCalls = 4;

    @JsonProperty("maxQueuedCalls")
    @Min(0)
    @Max(100_000)
    private int mMaxQueuedCalls = 1_000;

    @JsonProperty("connectTimeoutMillis")
    @Min(10)
    @Max(60_000)
    private int mConnectTimeoutMillis = 1_000;

    @JsonProperty("checksFence")
    private boolean mChecksFence = false;

    @JsonProperty("releasesCache")
    private boolean mReleasesCache = true;

    @JsonProperty("cacheIdleSeconds")
    @Min(1)
    @Max(86_400)
    private int mCacheIdleSeconds = 600;

    // Accessors

    /** Returns the target's name, which stays the same when the target restarts. */
    public String name() {
        return mName;
    }

    /** Returns the target's base URL. */
    public String url() {
        return mUrl;
    }

    /** Returns whether the target is a model engine or a plain service. */
    public TargetKind kind() {
        return mKind;
    }

    /** Returns the names of the models that the target serves; empty for a plain service. */
    public List<String> models() {
        return List.copyOf(mModels);
    }

    /** Returns the name of the service that the target provides; empty for a model engine. */
    public Optional<String> service() {
        return Optional.ofNullable(mService);
    }

    /** Returns the number of calls that the target may run at once. */
    public int maxConcurrentCalls() {
        return mMaxConcurrentCalls;
    }

    /** Returns how many calls may run at once of programs that have received much service time. */
    public int maxLongCalls() {
        return mMaxLongCalls;
    }

    /** Returns the number of calls that may wait for the target. */
    public int maxQueuedCalls() {
        return mMaxQueuedCalls;
    }

    /** Returns the timeout for opening a connection to the target in milliseconds. */
    public int connectTimeoutMillis() {
        return mConnectTimeoutMillis;
    }

    /** Returns whether the target itself refuses a request with an outdated fencing number. */
    public boolean checksFence() {
        return mChecksFence;
    }

    /** Returns whether the target frees the cached prompt prefixes of a program on request. */
    public boolean releasesCache() {
        return mReleasesCache;
    }

    /** Returns the seconds without a call after which a program's cached prefixes are freed. */
    public int cacheIdleSeconds() {
        return mCacheIdleSeconds;
    }

    // Checks

    @AssertTrue(message = "maxLongCalls: at most maxConcurrentCalls")
    boolean isMaxLongCallsInRange() {
        return mMaxLongCalls <= mMaxConcurrentCalls;
    }

    @AssertTrue(message = "models: at least one name if kind is model, none if kind is service")
    boolean isModelsConsistent() {
        return mModels == null || mModels.isEmpty() == (mKind == TargetKind.SERVICE);
    }

    @AssertTrue(message = "service: required if kind is service, absent if kind is model")
    boolean isServiceConsistent() {
        return (mService == null) == (mKind == TargetKind.MODEL);
    }
}
