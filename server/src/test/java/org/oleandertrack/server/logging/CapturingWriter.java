package org.oleandertrack.server.logging;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.oleandertrack.telemetry.logging.JsonLinesWriter;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/** Keeps the lines that {@link JsonLinesWriter} makes of this JVM's log entries. */
public final class CapturingWriter implements Writer {

    private static final ByteArrayOutputStream LINES = new ByteArrayOutputStream();

    private final JsonLinesWriter mWriter = new JsonLinesWriter(LINES::writeBytes, () -> {});

    /** Creates a writer; tinylog calls this. */
    public CapturingWriter(Map<String, String> properties) {}

    /** Returns the lines so far that contain a text. */
    public static List<String> linesWith(String text) {
        return LINES.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains(text))
                .toList();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return mWriter.getRequiredLogEntryValues();
    }

    @Override
    public void write(LogEntry entry) throws IOException {
        mWriter.write(entry);
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
