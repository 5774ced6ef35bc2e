package org.oleandertrack.coordination.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Value of the row {@code member/{node}}.
 *
 * @param incarnation random number of the lease holder; changes whenever a lease was closed
 * @param counter number of the renewal
 * @param leaseMillis length of the lease, so that contenders wait for the holder's own length
 * @param writeId id of the write
 */
record MemberRow(
        @JsonProperty("i") long incarnation,
        @JsonProperty("c") long counter,
        @JsonProperty("l") long leaseMillis,
        @JsonProperty("s") MemberState state,
        @JsonProperty("w") String writeId) {

    static final String PREFIX = "member/";

    static String key(String node) {
        return PREFIX + node;
    }

    MemberRow closed(String closeWriteId) {
        return new MemberRow(incarnation, counter, leaseMillis, MemberState.CLOSED, closeWriteId);
    }
}
