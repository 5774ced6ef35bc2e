package org.oleandertrack.telemetry.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against lines that are not valid JSON, and against a log that grows with the load. */
final class EventLogTest {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> mLines = new ArrayList<>();

    private EventLog logAt(long second, int maxLines) {
        return new EventLog(
                line -> mLines.add(new String(line, StandardCharsets.UTF_8)),
                Clock.fixed(Instant.ofEpochSecond(second), ZoneOffset.UTC),
                maxLines);
    }

    @Test
    void fieldsKeepTheirTypesAndTextIsEscaped() throws IOException {
        logAt(1, 10)
                .info("placed")
                .text("request", "a \"b\"\n")
                .number("send", 2)
                .decimal("cost", 1.2345)
                .flag("sameTarget", true)
                .write();
        JsonNode line = JSON.readTree(mLines.getFirst());
        assertEquals("placed", line.get("message").asText());
        assertEquals("a \"b\"\n", line.get("request").asText());
        assertEquals(2, line.get("send").asInt());
        assertEquals(1.23, line.get("cost").asDouble());
        assertEquals(true, line.get("sameTarget").asBoolean());
    }

    @Test
    void linesBeyondTheLimitAreOmittedAndCountedButStateChangesNever() throws IOException {
        EventLog log = logAt(1, 2);
        for (int i = 0; i < 5; i++) {
            log.info("placed").write();
        }
        log.notice("store lost").write();
        assertEquals(3, mLines.size());
        JsonNode last = JSON.readTree(mLines.getLast());
        assertEquals("store lost", last.get("message").asText());
        assertEquals(3, last.get("linesLeftOut").asInt());
    }
}
