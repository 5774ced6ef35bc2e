package org.oleandertrack.coordination.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;

/**
 * An accepted change of the configuration, the value of the row {@code config/{version}}.
 *
 * @param version version of the configuration with the change
 * @param command command of the operator
 * @param operator name of the operator who issued the command
 * @param changeId id of the change, which no other change ever has
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
