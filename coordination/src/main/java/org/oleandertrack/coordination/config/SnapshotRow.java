package org.oleandertrack.coordination.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Value of the row that names the latest snapshot object.
 *
 * @param version version of the snapshot
 * @param writeId id of the write
 */
record SnapshotRow(@JsonProperty("v") long version, @JsonProperty("w") String writeId) {

    // Outside the prefix of the changes, so that scans of the log do not see it.
    static final String KEY = "config-snapshot";

    static String objectKey(long version) {
        return "config-snapshots/" + version;
    }
}
