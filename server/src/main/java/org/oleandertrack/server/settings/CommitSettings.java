package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;

/** Rate and limits of group commits. Immutable after loading. */
public final class CommitSettings {

    @JsonProperty("perSecond")
    @Min(1)
    @Max(1_000)
    private int mPerSecond = 50;

    @JsonProperty("burst")
    @Min(1)
    @Max(1_000)
    private int mBurst = 20;

    @JsonProperty("maxQueuedBytes")
    @Min(65_536)
    @Max(1_073_741_824)
    private int mMaxQueuedBytes = 8_388_608;

    @JsonProperty("deadlineMillis")
    @Min(50)
    @Max(600_000)
    private int mDeadlineMillis = 10_000;

    // Accessors

    /** Returns the commits that the process may start per second on average. */
    public int perSecond() {
        return mPerSecond;
    }

    /** Returns the commits that may start at once after a quiet time. */
    public int burst() {
        return mBurst;
    }

    /** Returns the bytes of records that may wait for a commit. */
    public int maxQueuedBytes() {
        return mMaxQueuedBytes;
    }

    /** Returns the time a record may wait for its commit in milliseconds. */
    public int deadlineMillis() {
        return mDeadlineMillis;
    }
}
