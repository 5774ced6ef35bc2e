package org.oleandertrack.coordination.lease;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Value of the row {@code member/{node}}.
 *
 * @param incarnation random number of the node's incarnation; it changes after a lease is closed
 * @param counter number of the write among those of the node's process
 * @param leaseMillis duration of the node's lease; other nodes close the row only after they have
 *     seen it unchanged for this long
 * @param state state of the node
 * @param writeId unique id of the write
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
