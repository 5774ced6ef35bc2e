package org.oleandertrack.system.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpHeaders;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The answer to a request, which may be incomplete. Immutable.
 *
 * @param status HTTP status; 0 if no response head arrived
 * @param failure why the answer is incomplete; empty if the response ended normally
 */
record Answer(int status, Optional<HttpHeaders> headers, String body, Optional<String> failure) {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String EVENT_PREFIX = "data: ";
    private static final String LAST_EVENT = "data: [DONE]";

    /** Returns the first value of a header, or an empty string if it is absent. */
    String header(String name) {
        return headers.flatMap(all -> all.firstValue(name)).orElse("");
    }

    /** Returns the number of the result code that the answer reports, or 0 if it reports none. */
    long code() {
        String value = header("Oleandertrack-Result-Code");
        return value.isEmpty() ? error().path("code").asLong(0) : Long.parseLong(value);
    }

    /**
     * Returns whether a refused request was executed, as the refusal reports it: "not run", "run"
     * or "unknown". The string is empty if the answer is not a refusal.
     */
    String execution() {
        String value = header("Oleandertrack-Execution");
        return value.isEmpty() ? error().path("execution").asText("") : value;
    }

    /**
     * Returns whether the request was not run and may be sent again later, because the connection
     * was refused or the refusal says so.
     */
    boolean isRetryableRefusal() {
        if (status == 0) {
            return failure.orElse("").contains("ConnectException");
        }
        return execution().equals("not run") && error().path("retry").asText("").equals("later");
    }

    /** Returns whether the status is 200 and the complete answer of a target arrived. */
    boolean isComplete() {
        if (status != 200 || failure.isPresent()) {
            return false;
        }
        return !isEventStream() || (body.stripTrailing().endsWith(LAST_EVENT) && !hasErrorEvent());
    }

    /** Returns the generated text of a model's answer, or the body of any other answer. */
    String text() {
        if (isEventStream()) {
            StringBuilder text = new StringBuilder();
            events().forEach(event -> text.append(event.at("/choices/0/delta/content").asText()));
            return text.toString();
        }
        JsonNode content = json(body).at("/choices/0/message/content");
        return content.isMissingNode() ? body : content.asText();
    }

    @Override
    public String toString() {
        return "status "
                + status
                + failure.map(reason -> ", " + reason).orElse("")
                + ", body "
                + (body.length() > 2_000 ? body.substring(0, 2_000) + "..." : body);
    }

    // Helpers

    private boolean isEventStream() {
        return header("Content-Type").startsWith("text/event-stream");
    }

    private boolean hasErrorEvent() {
        return events().anyMatch(event -> event.has("error"));
    }

    private JsonNode error() {
        if (isEventStream()) {
            return events().filter(event -> event.has("error"))
                    .findFirst()
                    .map(event -> event.path("error"))
                    .orElseGet(MAPPER::createObjectNode);
        }
        return json(body).path("error");
    }

    private Stream<JsonNode> events() {
        return body.lines()
                .filter(line -> line.startsWith(EVENT_PREFIX + "{"))
                .map(line -> json(line.substring(EVENT_PREFIX.length())));
    }

    private static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MAPPER.createObjectNode();
        }
    }
}
