package org.oleandertrack.coordination.lease;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/**
 * Value of the row {@code shard/{n}}.
 *
 * @param node node id of the holder; empty after a release
 * @param incarnation incarnation of the holder; 0 after a release
 * @param fence fencing number, one higher with each claim
 * @param writeId unique id of the write
 */
record ShardRow(
        @JsonProperty("n") String node,
        @JsonProperty("i") long incarnation,
        @JsonProperty("f") long fence,
        @JsonProperty("w") String writeId) {

    static final String PREFIX = "shard/";

    /** Returns the key of a shard's row, padded so that the keys sort by the shards' numbers. */
    static String key(int shard) {
        return String.format(Locale.ROOT, "%s%05d", PREFIX, shard);
    }

    static int parseShard(String key) {
        return Integer.parseInt(key.substring(PREFIX.length()));
    }
}
