package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;

/**
 * Rate and limits of group commits, each of which writes several records to the store at once.
 * Immutable after loading.
 */
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

    /** Returns the average number of group commits that the process may start per second. */
    public int perSecond() {
        return mPerSecond;
    }

    /** Returns the number of group commits that may start at once after an idle period. */
    public int burst() {
        return mBurst;
    }

    /** Returns the total size in bytes of the records that may wait for a group commit. */
    public int maxQueuedBytes() {
        return mMaxQueuedBytes;
    }

    /** Returns the longest time in milliseconds that a record may wait for its group commit. */
    public int deadlineMillis() {
        return mDeadlineMillis;
    }
}
