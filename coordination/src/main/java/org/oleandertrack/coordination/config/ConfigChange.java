package org.oleandertrack.coordination.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/**
 * One accepted change, the value of the row {@code config/{version}}.
 *
 * @param version version that the change makes
 * @param command the operator's command
 * @param operator who issued it
 * @param changeId id chosen for this change, unique for all time
 */
public record ConfigChange(
        @JsonProperty("v") long version,
        @JsonProperty("c") String command,
        @JsonProperty("o") String operator,
        @JsonProperty("i") String changeId) {

    static final String PREFIX = "config/";

    static String key(long version) {
        return String.format(Locale.ROOT, "%s%012d", PREFIX, version);
    }
}
