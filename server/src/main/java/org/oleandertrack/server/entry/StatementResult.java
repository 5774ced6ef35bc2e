package org.oleandertrack.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The result of an operator's statement. Immutable.
 *
 * @param columns names of the columns
 * @param rows values in the order of the columns
 * @param missingNodes entry hosts whose rows could not be read
 */
record StatementResult(List<String> columns, List<List<String>> rows, List<String> missingNodes) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    static StatementResult of(List<String> columns, List<List<String>> rows) {
        return new StatementResult(columns, rows, List.of());
    }

    byte[] toJson() {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode columnArray = root.putArray("columns");
        columns.forEach(columnArray::add);
        ArrayNode rowArray = root.putArray("rows");
        for (List<String> row : rows) {
            ArrayNode values = rowArray.addArray();
            row.forEach(values::add);
        }
        ArrayNode missing = root.putArray("missingNodes");
        missingNodes.forEach(missing::add);
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static StatementResult fromJson(byte[] json) {
        try {
            JsonNode root = MAPPER.readTree(json);
            List<List<String>> rows = new ArrayList<>();
            root.path("rows").forEach(row -> rows.add(readTexts(row)));
            return new StatementResult(
                    readTexts(root.path("columns")), rows, readTexts(root.path("missingNodes")));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<String> readTexts(JsonNode array) {
        List<String> values = new ArrayList<>();
        array.forEach(value -> values.add(value.asText()));
        return values;
    }
}
