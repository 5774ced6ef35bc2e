package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Valid;
import jakarta.validation.constraints.NotNull;

/** Settings of an entry host. Immutable after loading. */
public final class EntrySettings extends NodeSettings {

    @JsonProperty("http")
    @NotNull
    @Valid
    private EntryHttpSettings mHttp = new EntryHttpSettings();

    @JsonProperty("platform")
    @NotNull
    @Valid
    private PlatformSettings mPlatform = new PlatformSettings();

    @JsonProperty("shards")
    @NotNull
    @Valid
    private ShardSettings mShards = new ShardSettings();

    @JsonProperty("commit")
    @NotNull
    @Valid
    private CommitSettings mCommit = new CommitSettings();

    @JsonProperty("calls")
    @NotNull
    @Valid
    private CallSettings mCalls = new CallSettings();

    // Accessors

    public EntryHttpSettings http() {
        return mHttp;
    }

    public PlatformSettings platform() {
        return mPlatform;
    }

    public ShardSettings shards() {
        return mShards;
    }

    public CommitSettings commit() {
        return mCommit;
    }

    public CallSettings calls() {
        return mCalls;
    }
}
