package org.oleandertrack.server.cli;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.oleandertrack.core.result.Execution;

/** Parses the JSON responses to {@code POST /ctl}; rows are streamed to the output. Stateless. */
final class CtlResponseReader {

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * An error response of the entry host.
     *
     * @param code number of the result code
     * @param name name of the result code
     * @param message one-line description of the failure
     * @param isNotRun whether the host guarantees that the command was not carried out
     */
    record Refusal(int code, String name, String message, boolean isNotRun) {}

    /**
     * Parses {@code {"columns":[...],"rows":[[...]]}}, with the fields in this order.
     *
     * @throws IOException if the body cannot be read or has another form
     */
    void readRows(InputStream body, CtlOutput output) throws IOException {
        try (JsonParser json = JSON.createParser(body)) {
            expect(json, JsonToken.START_OBJECT);
            expectField(json, "columns");
            List<String> columns = readArray(json).stream().map(JsonNode::asText).toList();
            output.printColumns(columns);
            expectField(json, "rows");
            expect(json, JsonToken.START_ARRAY);
            while (json.nextToken() == JsonToken.START_ARRAY) {
                List<JsonNode> cells = readCells(json);
                if (cells.size() != columns.size()) {
                    throw new IOException(
                            "a row has " + cells.size() + " cells, not one for each column");
                }
                output.printRow(cells);
            }
            if (json.currentToken() != JsonToken.END_ARRAY) {
                throw new IOException("a row is not an array");
            }
            expect(json, JsonToken.END_OBJECT);
            output.finish();
        }
    }

    /**
     * Parses {@code {"error":{"code","name","message","execution"}}}.
     *
     * @throws IOException if the body cannot be read or has no result code
     */
    Refusal readRefusal(InputStream body) throws IOException {
        JsonNode error = JSON.readTree(body).path("error");
        if (!error.path("code").isInt() || !error.path("message").isTextual()) {
            throw new IOException("the error response has no result code");
        }
        String message = error.path("message").asText().replaceAll("\\p{Cntrl}", " ");
        return new Refusal(
                error.path("code").intValue(),
                error.path("name").asText().replaceAll("\\p{Cntrl}", " "),
                message,
                error.path("execution").asText().equals(Execution.NOT_RUN.text()));
    }

    private static void expect(JsonParser json, JsonToken token) throws IOException {
        if (json.nextToken() != token) {
            throw new IOException("expected " + token + ", found " + json.currentToken());
        }
    }

    private static void expectField(JsonParser json, String name) throws IOException {
        if (!name.equals(json.nextFieldName())) {
            throw new IOException("expected the field " + name);
        }
    }

    private static List<JsonNode> readArray(JsonParser json) throws IOException {
        expect(json, JsonToken.START_ARRAY);
        return readCells(json);
    }

    private static List<JsonNode> readCells(JsonParser json) throws IOException {
        List<JsonNode> cells = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            if (json.currentToken() == null) {
                throw new IOException("the response ends inside an array");
            }
            cells.add(JSON.readTree(json));
        }
        return cells;
    }
}
