package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete events. If the stream fails within an event,
 * the incomplete event is not forwarded, and another target can resume after the last complete one.
 * Empty lines outside of an event have no meaning and are dropped. The head of an HTTP response
 * among the events ends the stream: it is the start of a second response. Each byte is examined a
 * constant number of times, however the stream is cut into parts. Not thread-safe.
 */
final class EventSplitter {

    /**
     * A complete event, or a block of comments.
     *
     * @param bytes the event, including the empty line that ends it; valid until bytes are added
     * @param id the event's id, if it has one
     * @param isComment whether all lines are comments, which clients ignore
     */
    record Event(ByteBuf bytes, Optional<String> id, boolean isComment) {

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
                if (startsWith(bytes, lineStart, end, DATA_FIELD)) {
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

        /** Returns the id as a number; empty if it is absent or not a number. */
        OptionalLong number() {
            return id.isPresent() ? parseNumber(id.get()) : OptionalLong.empty();
        }
    }

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] EVENT_FIELD = "event:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] RETRY_FIELD = "retry:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] STATUS_LINE = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final int STATUS_DIGITS = 3;

    // An event holds a few tokens; a target that sends more bytes without completing one does not
    // send a stream of events.
    private static final int MAX_BYTES_WITHOUT_EVENT = 256 * 1024;

    private final ByteBuf mBuffer;
    // The lines of the event at the start of the buffer. Offsets are relative to its reader index.
    private int mScannedBytes;
    private int mLineOffset;
    private Optional<String> mId = Optional.empty();
    private boolean mOnlyComments = true;
    private boolean mEventHasStatusLine;
    private boolean mHasOtherResponse;
    // Bytes of empty lines and comments since the last event.
    private long mIgnoredBytes;

    /**
     * Creates a splitter.
     *
     * @param buffer empty buffer for bytes whose event is incomplete
     */
    EventSplitter(ByteBuf buffer) {
        mBuffer = buffer;
    }

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
        // All complete events have been removed, so at most one incomplete event is moved, once.
        if (mBuffer.readerIndex() > 0) {
            mBuffer.discardReadBytes();
        }
        mBuffer.writeBytes(part);
    }

    /** Removes and returns the next complete event or block of comments, if there is one. */
    Optional<Event> next() {
        while (!mHasOtherResponse && mScannedBytes < mBuffer.readableBytes()) {
            int index = mBuffer.readerIndex() + mScannedBytes++;
            if (mBuffer.getByte(index) != '\n') {
                continue;
            }
            int lineStart = mBuffer.readerIndex() + mLineOffset;
            int lineEnd =
                    index > lineStart && mBuffer.getByte(index - 1) == '\r' ? index - 1 : index;
            boolean isEmpty = lineEnd == lineStart;
            if (isEmpty && mLineOffset == 0) {
                mIgnoredBytes += mScannedBytes;
                mBuffer.skipBytes(mScannedBytes);
                mScannedBytes = 0;
                continue;
            }
            if (isEmpty) {
                return Optional.of(takeEvent());
            }
            scanLine(lineStart, lineEnd);
            mLineOffset = mScannedBytes;
        }
        return Optional.empty();
    }

    /**
     * Returns whether no more events can follow: another response has begun, or more bytes have
     * arrived since the last event than an event may have.
     */
    boolean isWithoutEvents() {
        return mHasOtherResponse
                || mIgnoredBytes + mBuffer.readableBytes() > MAX_BYTES_WITHOUT_EVENT;
    }

    /** Returns the size of the incomplete event that is buffered. */
    int partialEventBytes() {
        return mBuffer.readableBytes();
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return mBuffer.isReadable();
    }

    private void scanLine(int start, int end) {
        // The text of an event may contain a status line, but the lines of a head have no field of
        // an event.
        mHasOtherResponse =
                startsWith(mBuffer, start, end, STATUS_LINE)
                        || (mEventHasStatusLine && !isEventField(start, end));
        mEventHasStatusLine |= containsStatusLine(start, end);
        mOnlyComments &= mBuffer.getByte(start) == ':';
        if (mId.isEmpty() && startsWith(mBuffer, start, end, ID_FIELD)) {
            int valueStart = start + ID_FIELD.length;
            mId =
                    Optional.of(
                            mBuffer.toString(valueStart, end - valueStart, StandardCharsets.UTF_8)
                                    .trim());
        }
    }

    private Event takeEvent() {
        Event event = new Event(mBuffer.readSlice(mScannedBytes), mId, mOnlyComments);
        mIgnoredBytes = mOnlyComments ? mIgnoredBytes + mScannedBytes : 0;
        mScannedBytes = 0;
        mLineOffset = 0;
        mId = Optional.empty();
        mOnlyComments = true;
        mEventHasStatusLine = false;
        return event;
    }

    private boolean isEventField(int start, int end) {
        return mBuffer.getByte(start) == ':'
                || isField(start, end, DATA_FIELD)
                || isField(start, end, ID_FIELD)
                || isField(start, end, EVENT_FIELD)
                || isField(start, end, RETRY_FIELD);
    }

    // A field without value may lack the colon, which is the last byte of the prefix.
    private boolean isField(int start, int end, byte[] prefix) {
        boolean hasNoColon = end - start == prefix.length - 1;
        byte[] expected = hasNoColon ? Arrays.copyOf(prefix, prefix.length - 1) : prefix;
        return startsWith(mBuffer, start, end, expected);
    }

    private boolean containsStatusLine(int start, int end) {
        int index = mBuffer.indexOf(start, end, STATUS_LINE[0]);
        while (index >= 0 && !isStatusLine(index, end)) {
            index = mBuffer.indexOf(index + 1, end, STATUS_LINE[0]);
        }
        return index >= 0;
    }

    // The protocol, its minor version, a space and three digits.
    private boolean isStatusLine(int start, int end) {
        int statusStart = start + STATUS_LINE.length + 2;
        int statusEnd = statusStart + STATUS_DIGITS;
        if (statusEnd > end
                || !startsWith(mBuffer, start, end, STATUS_LINE)
                || mBuffer.getByte(statusStart - 1) != ' ') {
            return false;
        }
        for (int i = statusStart; i < statusEnd; i++) {
            if (mBuffer.getByte(i) < '0' || mBuffer.getByte(i) > '9') {
                return false;
            }
        }
        return statusEnd == end || mBuffer.getByte(statusEnd) == ' ';
    }

    private static boolean startsWith(ByteBuf bytes, int start, int end, byte[] prefix) {
        if (end - start < prefix.length) {
            return false;
        }
        for (int i = 0; i < prefix.length; i++) {
            if (bytes.getByte(start + i) != prefix[i]) {
                return false;
            }
        }
        return true;
    }
}
