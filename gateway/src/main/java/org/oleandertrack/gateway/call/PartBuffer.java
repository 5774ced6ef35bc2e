package org.oleandertrack.gateway.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.oleandertrack.http.ResponseWriter;

/**
 * Collects the parts of a response body that arrive in one read, and writes them to the caller
 * together, because each write is a system call. Not thread-safe.
 */
final class PartBuffer {

    private final ResponseWriter mWriter;
    private ByteBuf mParts = Unpooled.EMPTY_BUFFER;

    PartBuffer(ResponseWriter writer) {
        mWriter = writer;
    }

    /** Copies a part; the buffer remains the caller's. */
    void add(ByteBuf part) {
        if (!mParts.isReadable()) {
            mParts = Unpooled.buffer(part.readableBytes());
        }
        mParts.writeBytes(part, part.readerIndex(), part.readableBytes());
    }

    /** Writes the collected parts, if there are any. */
    void flush() {
        if (!mParts.isReadable()) {
            return;
        }
        ByteBuf parts = mParts;
        mParts = Unpooled.EMPTY_BUFFER;
        mWriter.write(parts);
    }
}
