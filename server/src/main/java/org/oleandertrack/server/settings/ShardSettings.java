package org.oleandertrack.server.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.AssertTrue;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;

/** Number of shards and timing of the entry hosts' member leases. Immutable after loading. */
public final class ShardSettings {

    @JsonProperty("count")
    @Min(1)
    @Max(65_536)
    private int mCount = 64;

    @JsonProperty("leaseMillis")
    @Min(100)
    @Max(60_000)
    private int mLeaseMillis = 6_000;

    @JsonProperty("renewMillis")
    @Min(20)
    @Max(20_000)
    private int mRenewMillis = 2_000;

    // Accessors

    /** Returns the number of shards, which must be the same on all entry hosts of a region. */
    public int count() {
        return mCount;
    }

    /**
     * Returns the duration in milliseconds of a member lease, under which an entry host holds
     * shards.
     */
    public int leaseMillis() {
        return mLeaseMillis;
    }

    /** Returns the interval between two renewals of a member lease in milliseconds. */
    public int renewMillis() {
        return mRenewMillis;
    }

    // Checks

    @AssertTrue(message = "leaseMillis: at least twice renewMillis")
    boolean isLeaseMillisSufficient() {
        return mLeaseMillis >= 2L * mRenewMillis;
    }
}
