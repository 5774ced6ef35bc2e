package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Cuts a stream of server-sent events into whole events, so that a stream that breaks off in the
 * middle of one can go on from another target. Not thread-safe.
 */
final class EventSplitter {

    /**
     * A whole event.
     *
     * @param bytes the event with the empty line that ends it
     * @param id its id, if it has one
     */
    record Event(ByteBuf bytes, Optional<String> id) {

        /** Returns the id as a number, if it is one. */
        OptionalLong number() {
            try {
                return id.isPresent()
                        ? OptionalLong.of(Long.parseLong(id.get()))
                        : OptionalLong.empty();
            } catch (NumberFormatException e) {
                return OptionalLong.empty();
            }
        }
    }

    private static final String ID_FIELD = "id:";

    private final ByteBuf mBuffer = Unpooled.buffer();
    private int mScanned;

    /** Adds bytes of the stream. */
    void add(ByteBuf part) {
        mBuffer.writeBytes(part);
    }

    /** Takes the next whole event, if there is one. */
    Optional<Event> next() {
        int end = endOfEvent();
        if (end < 0) {
            return Optional.empty();
        }
        ByteBuf bytes = mBuffer.readBytes(end - mBuffer.readerIndex());
        mBuffer.discardReadBytes();
        mScanned = 0;
        return Optional.of(new Event(bytes, idOf(bytes)));
    }

    /** Returns whether bytes are left that make no whole event. */
    boolean hasPartialEvent() {
        return mBuffer.isReadable();
    }

    /** Takes the bytes that are left. */
    ByteBuf takeRest() {
        return mBuffer.readBytes(mBuffer.readableBytes());
    }

    /** Drops the bytes that are left. */
    void clear() {
        mBuffer.clear();
        mScanned = 0;
    }

    // An event ends with an empty line; lines end with LF or CR LF.
    private int endOfEvent() {
        int lineStart = mScanned;
        for (int i = mScanned; i < mBuffer.writerIndex(); i++) {
            if (mBuffer.getByte(i) != '\n') {
                continue;
            }
            int length = i - lineStart;
            boolean empty = length == 0 || (length == 1 && mBuffer.getByte(lineStart) == '\r');
            if (empty) {
                return i + 1;
            }
            lineStart = i + 1;
        }
        mScanned = lineStart;
        return -1;
    }

    private static Optional<String> idOf(ByteBuf bytes) {
        for (String line : bytes.toString(StandardCharsets.UTF_8).split("\r?\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                return Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
        return Optional.empty();
    }
}
