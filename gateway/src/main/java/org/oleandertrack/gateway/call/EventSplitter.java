package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete events. If the stream fails within an event,
 * the incomplete event is not forwarded, and another target can resume after the last complete one.
 * Not thread-safe.
 */
final class EventSplitter {

    /**
     * A complete event.
     *
     * @param bytes the event, including the empty line that ends it
     * @param id the event's id, if it has one
     */
    record Event(ByteBuf bytes, Optional<String> id) {

        /**
         * Appends the event's data to a buffer: the values of its data fields, with a line feed
         * between them, as bytes.
         *
         * @return whether the event has data
         */
        boolean appendData(ByteBuf target) {
            boolean hasData = false;
            int lineStart = bytes.readerIndex();
            while (lineStart < bytes.writerIndex()) {
                int lineFeed = bytes.indexOf(lineStart, bytes.writerIndex(), (byte) '\n');
                int next = lineFeed < 0 ? bytes.writerIndex() : lineFeed + 1;
                int end = lineFeed < 0 ? next : lineFeed;
                if (end > lineStart && bytes.getByte(end - 1) == '\r') {
                    end--;
                }
                if (startsWithDataField(lineStart, end)) {
                    int valueStart = lineStart + DATA_FIELD.length;
                    if (valueStart < end && bytes.getByte(valueStart) == ' ') {
                        valueStart++;
                    }
                    if (hasData) {
                        target.writeByte('\n');
                    }
                    target.writeBytes(bytes, valueStart, end - valueStart);
                    hasData = true;
                }
                lineStart = next;
            }
            return hasData;
        }

        private boolean startsWithDataField(int lineStart, int end) {
            if (end - lineStart < DATA_FIELD.length) {
                return false;
            }
            for (int i = 0; i < DATA_FIELD.length; i++) {
                if (bytes.getByte(lineStart + i) != DATA_FIELD[i]) {
                    return false;
                }
            }
            return true;
        }

        /** Returns the id as a number; empty if it is absent or not a number. */
        OptionalLong number() {
            return id.isPresent() ? parseNumber(id.get()) : OptionalLong.empty();
        }
    }

    private static final String ID_FIELD = "id:";
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

    // An event holds a few tokens; a larger one is not an event of an engine.
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private final ByteBuf mBuffer = Unpooled.buffer();
    private int mNextLineStart;

    /** Returns an event's id as a number; empty if it is none. */
    static OptionalLong parseNumber(String id) {
        try {
            return OptionalLong.of(Long.parseLong(id));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /** Appends bytes of the stream. */
    void add(ByteBuf part) {
        mBuffer.writeBytes(part);
    }

    /** Removes and returns the next complete event, if there is one. */
    Optional<Event> next() {
        int end = findEventEnd();
        if (end < 0) {
            return Optional.empty();
        }
        ByteBuf bytes = mBuffer.readBytes(end - mBuffer.readerIndex());
        mBuffer.discardReadBytes();
        mNextLineStart = 0;
        return Optional.of(new Event(bytes, parseId(bytes)));
    }

    /** Returns whether the incomplete event that is buffered exceeds the size of an event. */
    boolean isOversized() {
        return mBuffer.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return mBuffer.isReadable();
    }

    /** Removes and returns the buffered bytes. */
    ByteBuf takeRest() {
        return mBuffer.readBytes(mBuffer.readableBytes());
    }

    /** Discards the buffered bytes. */
    void clear() {
        mBuffer.clear();
        mNextLineStart = 0;
    }

    // Returns the index after the empty line that ends the next event, or -1 if there is none.
    // Lines end with LF or CR LF.
    private int findEventEnd() {
        int lineStart = mNextLineStart;
        for (int i = mNextLineStart; i < mBuffer.writerIndex(); i++) {
            if (mBuffer.getByte(i) != '\n') {
                continue;
            }
            int lineLength = i - lineStart;
            boolean isEmptyLine =
                    lineLength == 0 || (lineLength == 1 && mBuffer.getByte(lineStart) == '\r');
            if (isEmptyLine) {
                return i + 1;
            }
            lineStart = i + 1;
        }
        mNextLineStart = lineStart;
        return -1;
    }

    private static Optional<String> parseId(ByteBuf bytes) {
        for (String line : bytes.toString(StandardCharsets.UTF_8).split("\r?\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                return Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
        return Optional.empty();
    }
}
