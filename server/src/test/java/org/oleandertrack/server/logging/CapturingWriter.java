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

/** Captures the lines to which {@link JsonLinesWriter} formats the log entries of this JVM. */
public final class CapturingWriter implements Writer {

    private static final ByteArrayOutputStream LINES = new ByteArrayOutputStream();

    private final JsonLinesWriter mWriter = new JsonLinesWriter(LINES::writeBytes, () -> {});

    /** Called by tinylog, which creates the writer by reflection. */
    public CapturingWriter(Map<String, String> properties) {}

    /** Returns the captured lines that contain a text. */
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
