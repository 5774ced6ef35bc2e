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
 * Writes events as lines with a JSON object each. The number of lines in a second is bounded; the
 * line that follows a gap says how many were left out. Never blocks. Thread-safe.
 */
public final class EventLog {

    private static final JsonFactory JSON = new JsonFactory();

    private final Consumer<byte[]> mOutput;
    private final Clock mClock;
    private final int mMaxLinesPerSecond;
    private long mSecond;
    private int mLinesInSecond;
    private long mLeftOut;

    /**
     * Creates a log.
     *
     * @param output receives whole lines
     */
    public EventLog(Consumer<byte[]> output, Clock clock, int maxLinesPerSecond) {
        mOutput = output;
        mClock = clock;
        mMaxLinesPerSecond = maxLinesPerSecond;
    }

    /** Starts a line about ordinary work, which is left out when there are too many lines. */
    public Line info(String event) {
        return line("info", event, false);
    }

    /** Starts a line about a change of what the process believes; it is never left out. */
    public Line notice(String event) {
        return line("info", event, true);
    }

    /** Starts a line about something that went wrong; it is never left out. */
    public Line warn(String event) {
        return line("warn", event, true);
    }

    private Line line(String level, String event, boolean always) {
        Instant now = mClock.instant();
        long leftOut;
        synchronized (this) {
            long second = now.getEpochSecond();
            if (second != mSecond) {
                mSecond = second;
                mLinesInSecond = 0;
            }
            if (++mLinesInSecond > mMaxLinesPerSecond && !always) {
                mLeftOut++;
                return new Line(null, null);
            }
            leftOut = mLeftOut;
            mLeftOut = 0;
        }
        return start(level, event, now, leftOut);
    }

    private Line start(String level, String event, Instant now, long leftOut) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try {
            JsonGenerator json = JSON.createGenerator(bytes);
            json.writeStartObject();
            json.writeStringField("time", now.toString());
            json.writeStringField("level", level);
            json.writeStringField("message", event);
            if (leftOut > 0) {
                json.writeNumberField("linesLeftOut", leftOut);
            }
            return new Line(bytes, json);
        } catch (IOException e) {
            throw new UncheckedIOException("a byte array cannot fail", e);
        }
    }

    /** A line that is being built. Use by one thread; ends with {@link #write}. */
    public final class Line {
        private final ByteArrayOutputStream mBytes;
        private final JsonGenerator mJson;

        private Line(ByteArrayOutputStream bytes, JsonGenerator json) {
            mBytes = bytes;
            mJson = json;
        }

        /** Adds a text field. */
        public Line text(String name, String value) {
            return add(() -> mJson.writeStringField(name, value));
        }

        /** Adds a whole number. */
        public Line number(String name, long value) {
            return add(() -> mJson.writeNumberField(name, value));
        }

        /** Adds a number with two digits behind the point. */
        public Line decimal(String name, double value) {
            return add(
                    () -> {
                        mJson.writeFieldName(name);
                        mJson.writeNumber(Math.round(value * 100) / 100.0);
                    });
        }

        /** Adds a truth value. */
        public Line flag(String name, boolean value) {
            return add(() -> mJson.writeBooleanField(name, value));
        }

        /** Queues the line for output. */
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
                throw new UncheckedIOException("a byte array cannot fail", e);
            }
            return this;
        }
    }

    /** A step of building a line. */
    @FunctionalInterface
    private interface JsonStep {
        void run() throws IOException;
    }
}
