package org.oleandertrack.coordination.lease;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/**
 * Value of the row {@code shard/{n}}.
 *
 * @param node holder; empty after a release
 * @param incarnation incarnation of the holder's lease
 * @param fence fencing number, one higher with each claim
 * @param writeId id of the write
 */
record ShardRow(
        @JsonProperty("n") String node,
        @JsonProperty("i") long incarnation,
        @JsonProperty("f") long fence,
        @JsonProperty("w") String writeId) {

    static final String PREFIX = "shard/";

    /** Returns the row's key; the padding makes key order the order of the shards. */
    static String key(int shard) {
        return String.format(Locale.ROOT, "%s%05d", PREFIX, shard);
    }

    static int shard(String key) {
        return Integer.parseInt(key.substring(PREFIX.length()));
    }
}
