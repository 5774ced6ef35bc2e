package org.oleandertrack.coordination.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Value of the row that refers to the latest snapshot object.
 *
 * @param version version of the latest snapshot
 * @param writeId unique id of the write
 */
record SnapshotRow(@JsonProperty("v") long version, @JsonProperty("w") String writeId) {

    // Does not start with the prefix of the changes, so that scans of the log do not return it.
    static final String KEY = "config-snapshot";

    static String objectKey(long version) {
        return "config-snapshots/" + version;
    }
}
