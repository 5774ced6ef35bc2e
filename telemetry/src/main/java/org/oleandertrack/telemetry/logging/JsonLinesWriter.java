package org.oleandertrack.telemetry.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry as a JSON object on a line of its own. tinylog's JSON writer only writes to
 * files, and the hosts have no disks. Each entry of the thread context becomes a field of the
 * object; a field whose name is already in use gets the prefix {@code context_}. Thread-safe: each
 * line is passed on as a whole.
 */
public final class JsonLinesWriter implements Writer {

    private static final JsonFactory JSON = new JsonFactory();
    private static final Set<String> RESERVED_FIELDS =
            Set.of("time", "level", "logger", "thread", "message", "exception");
    private static final Set<String> NUMERIC_FIELDS = Set.of(DecisionLog.TURN_FIELD);

    private final Consumer<byte[]> mLines;
    private final Runnable mFlush;

    // Life-cycle

    /**
     * Creates a writer to standard output. tinylog calls this constructor.
     *
     * @param properties tinylog properties of the writer; none are used
     */
    public JsonLinesWriter(Map<String, String> properties) {
        this(LineOutput.standardOutput()::offer, LineOutput.standardOutput()::flush);
    }

    /**
     * Creates a writer to the given output.
     *
     * @param lines receives complete lines
     * @param flush writes out the lines received so far
     */
    public JsonLinesWriter(Consumer<byte[]> lines, Runnable flush) {
        mLines = lines;
        mFlush = flush;
    }

    // Accessors

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.THREAD,
                LogEntryValue.CONTEXT,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION);
    }

    // Operations

    @Override
    public void write(LogEntry entry) throws IOException {
        mLines.accept(format(entry));
    }

    @Override
    public void flush() {
        mFlush.run();
    }

    @Override
    public void close() {
        flush();
    }

    // Helpers

    private static byte[] format(LogEntry entry) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(256);
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField("time", entry.getTimestamp().toInstant().toString());
            json.writeStringField("level", entry.getLevel().name().toLowerCase(Locale.ROOT));
            json.writeStringField("logger", entry.getClassName());
            json.writeStringField("thread", entry.getThread().getName());
            if (entry.getMessage() != null) {
                json.writeStringField("message", entry.getMessage());
            }
            writeContext(json, entry.getContext());
            if (entry.getException() != null) {
                json.writeStringField("exception", stackTrace(entry.getException()));
            }
            json.writeEndObject();
        }
        line.write('\n');
        return line.toByteArray();
    }

    private static void writeContext(JsonGenerator json, Map<String, String> context)
            throws IOException {
        for (Map.Entry<String, String> field : context.entrySet()) {
            String name = field.getKey();
            String value = field.getValue();
            if (RESERVED_FIELDS.contains(name)) {
                json.writeStringField("context_" + name, value);
            } else if (NUMERIC_FIELDS.contains(name)) {
                json.writeFieldName(name);
                json.writeNumber(value);
            } else {
                json.writeStringField(name, value);
            }
        }
    }

    private static String stackTrace(Throwable exception) {
        StringWriter text = new StringWriter();
        exception.printStackTrace(new PrintWriter(text));
        return text.toString();
    }
}
