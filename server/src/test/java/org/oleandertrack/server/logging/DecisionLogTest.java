package org.oleandertrack.server.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleandertrack.telemetry.logging.Decision;
import org.oleandertrack.telemetry.logging.DecisionKind;
import org.oleandertrack.telemetry.logging.DecisionLog;
import org.slf4j.LoggerFactory;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Guards against decision log lines whose fields are missing or part of the message, and against
 * fields that remain in the thread's context and appear in later lines.
 */
final class DecisionLogTest {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Test
    void eachDecisionIsOneLineWithSeparateFields() throws IOException {
        new DecisionLog()
                .write(
                        new Decision(
                                DecisionKind.PLACEMENT,
                                "kaasik",
                                "review \"7\"\n/conflicts",
                                3,
                                "model-1",
                                "zone-a",
                                "least cost"));
        List<String> lines = CapturingWriter.linesWith("conflicts");
        assertEquals(1, lines.size());
        JsonNode line = JSON.readTree(lines.getFirst());
        assertEquals(
                List.of(
                        "time",
                        "level",
                        "logger",
                        "thread",
                        "message",
                        "organisation",
                        "program",
                        "reason",
                        "target",
                        "turn",
                        "zone"),
                sortedAfterMessage(line));
        assertEquals("placement", line.get("message").asText());
        assertEquals("kaasik", line.get("organisation").asText());
        assertEquals("review \"7\"\n/conflicts", line.get("program").asText());
        assertTrue(line.get("turn").isNumber());
        assertEquals(3, line.get("turn").asLong());
        assertEquals("model-1", line.get("target").asText());
        assertEquals("zone-a", line.get("zone").asText());
        assertEquals("least cost", line.get("reason").asText());
    }

    @Test
    void fieldsOfADecisionAreRemovedFromTheThreadContext() {
        new DecisionLog()
                .write(new Decision(DecisionKind.REFUSAL, "o", "p", 1, "", "", "queue full"));
        assertEquals(true, ThreadContext.getMapping().isEmpty());
    }

    @Test
    void exceptionsAndLibraryLinesStayOnOneLine() throws IOException {
        Logger.error(new IllegalStateException("first\nsecond"), "commit failed");
        LoggerFactory.getLogger("org.eclipse.jetty.Test").warn("library line {}", 1);
        JsonNode own = JSON.readTree(CapturingWriter.linesWith("commit failed").getFirst());
        JsonNode library = JSON.readTree(CapturingWriter.linesWith("library line").getFirst());
        assertTrue(own.get("exception").asText().contains("first\nsecond"));
        assertEquals("error", own.get("level").asText());
        assertEquals("library line 1", library.get("message").asText());
        assertEquals("warn", library.get("level").asText());
    }

    @Test
    void contextCannotReplaceAFieldOfTheLine() throws IOException {
        ThreadContext.put("level", "none");
        try {
            Logger.info("reserved field");
        } finally {
            ThreadContext.remove("level");
        }
        JsonNode line = JSON.readTree(CapturingWriter.linesWith("reserved field").getFirst());
        assertEquals("info", line.get("level").asText());
        assertEquals("none", line.get("context_level").asText());
    }

    private static List<String> sortedAfterMessage(JsonNode line) {
        List<String> names = new ArrayList<>();
        line.fieldNames().forEachRemaining(names::add);
        int fixed = names.indexOf("message") + 1;
        names.subList(fixed, names.size()).sort(null);
        return names;
    }
}
