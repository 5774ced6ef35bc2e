package org.oleandertrack.system.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Set;
import java.util.TreeSet;

/**
 * Replaces values that differ between runs with placeholders, for the comparison with golden files.
 */
final class Scrubber {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> VOLATILE_COLUMNS =
            Set.of(
                    "incarnation",
                    "address",
                    "running-millis",
                    "waiting-millis",
                    "age-millis",
                    "holder",
                    "fence",
                    "config-version",
                    "running",
                    "waiting");
    private static final int MAX_CHARS = 4_000;

    private Scrubber() {}

    /** Replaces addresses, ids, times and the cells of volatile columns of a body. */
    static String scrub(String body) {
        String text = scrubRows(body);
        text =
                text.replaceAll(
                                "[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}",
                                "<id>")
                        .replaceAll("127\\.0\\.0\\.1:\\d+", "<address>")
                        .replaceAll("\"cached_tokens\":\\d+", "\"cached_tokens\":\"<count>\"")
                        .replaceAll("\"retryAfterMs\":[1-9]\\d*", "\"retryAfterMs\":\"<time>\"")
                        .replaceAll("(?m)\\s+$", "");
        return text.length() > MAX_CHARS ? text.substring(0, MAX_CHARS) + "..." : text;
    }

    private static String scrubRows(String body) {
        JsonNode answer;
        try {
            answer = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return body;
        }
        if (answer == null || !answer.path("columns").isArray()) {
            return body;
        }
        // The order of rows is not specified, so they are sorted here.
        Set<String> rows = new TreeSet<>();
        for (JsonNode row : answer.path("rows")) {
            for (int i = 0; i < row.size(); i++) {
                String column = answer.path("columns").path(i).asText();
                if (VOLATILE_COLUMNS.contains(column) && !row.path(i).isNull()) {
                    ((ArrayNode) row).set(i, "<" + column + ">");
                }
            }
            rows.add(row.toString());
        }
        return answer.path("columns") + "\n" + String.join("\n", rows);
    }
}
