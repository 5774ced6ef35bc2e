package org.oleandertrack.telemetry.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.time.Instant;
import java.util.function.Consumer;

/**
 * Logs events as JSON objects, one per line. The number of lines per second is limited; the first
 * line after omitted ones contains their number. Never blocks. Thread-safe.
 */
public final class EventLog {

    private static final JsonFactory JSON = new JsonFactory();

    private final Consumer<byte[]> mOutput;
    private final Clock mClock;
    private final int mMaxLinesPerSecond;
    private long mSecond;
    private int mLinesInSecond;
    private long mOmittedLines;

    /**
     * Creates a log.
     *
     * @param output receives complete lines, each ending with a line feed
     * @param clock source of the timestamps
     * @param maxLinesPerSecond number of lines per second above which {@link #info} lines are
     *     omitted
     */
    public EventLog(Consumer<byte[]> output, Clock clock, int maxLinesPerSecond) {
        mOutput = output;
        mClock = clock;
        mMaxLinesPerSecond = maxLinesPerSecond;
    }

    /** Starts a line about normal operation, which is omitted if there are too many lines. */
    public Line info(String event) {
        return startLine("info", event, false);
    }

    /** Starts a line at level info about a state change of the process; it is never omitted. */
    public Line notice(String event) {
        return startLine("info", event, true);
    }

    /** Starts a line about a problem; it is never omitted. */
    public Line warn(String event) {
        return startLine("warn", event, true);
    }

    private Line startLine(String level, String event, boolean neverOmitted) {
        Instant now = mClock.instant();
        long omittedLines;
        synchronized (this) {
            long second = now.getEpochSecond();
            if (second != mSecond) {
                mSecond = second;
                mLinesInSecond = 0;
            }
            if (++mLinesInSecond > mMaxLinesPerSecond && !neverOmitted) {
                mOmittedLines++;
                return new Line(null, null);
            }
            omittedLines = mOmittedLines;
            mOmittedLines = 0;
        }
        return createLine(level, event, now, omittedLines);
    }

    private Line createLine(String level, String event, Instant now, long omittedLines) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try {
            JsonGenerator json = JSON.createGenerator(bytes);
            json.writeStartObject();
            json.writeStringField("time", now.toString());
            json.writeStringField("level", level);
            json.writeStringField("message", event);
            if (omittedLines > 0) {
                json.writeNumberField("linesLeftOut", omittedLines);
            }
            return new Line(bytes, json);
        } catch (IOException e) {
            throw new UncheckedIOException("writing JSON to a byte array failed", e);
        }
    }

    /** A log line under construction. Not thread-safe. {@link #write} completes the line. */
    public final class Line {
        private final ByteArrayOutputStream mBytes;

        /** Null if the line is omitted. */
        private final JsonGenerator mJson;

        private Line(ByteArrayOutputStream bytes, JsonGenerator json) {
            mBytes = bytes;
            mJson = json;
        }

        /** Adds a text field. */
        public Line text(String name, String value) {
            return add(() -> mJson.writeStringField(name, value));
        }

        /** Adds an integer field. */
        public Line number(String name, long value) {
            return add(() -> mJson.writeNumberField(name, value));
        }

        /** Adds a number field rounded to two decimal places. */
        public Line decimal(String name, double value) {
            return add(
                    () -> {
                        mJson.writeFieldName(name);
                        mJson.writeNumber(Math.round(value * 100) / 100.0);
                    });
        }

        /** Adds a boolean field. */
        public Line flag(String name, boolean value) {
            return add(() -> mJson.writeBooleanField(name, value));
        }

        /** Completes the line and passes it to the output, unless it is omitted. */
        public void write() {
            if (mJson == null) {
                return;
            }
            add(mJson::writeEndObject);
            add(mJson::close);
            mBytes.write('\n');
            mOutput.accept(mBytes.toByteArray());
        }

        private Line add(JsonStep step) {
            if (mJson == null) {
                return this;
            }
            try {
                step.run();
            } catch (IOException e) {
                throw new UncheckedIOException("writing JSON to a byte array failed", e);
            }
            return this;
        }
    }

    /** Writes a part of a line. */
    @FunctionalInterface
    private interface JsonStep {
        void run() throws IOException;
    }
}
