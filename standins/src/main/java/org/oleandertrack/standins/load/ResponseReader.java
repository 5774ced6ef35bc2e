package org.oleandertrack.standins.load;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.LongSupplier;

/**
 * Reads HTTP/1.1 responses from a persistent connection. Used by one thread.
 *
 * <p>The load client uses plain sockets because they take less CPU time than the JDK's HttpClient,
 * and it runs on the same host as the processes that it measures.
 */
final class ResponseReader {

    /**
     * A received response.
     *
     * @param firstBodyByteNanos time on the reader's clock at which the first byte of the body
     *     arrived; 0 if there is no body
     * @param bodyReads number of reads from the connection that returned bytes of the body
     * @param bodyTail the last bytes of the body, at most 64
     * @param keepAlive whether the connection can carry another request
     */
    record Response(
            int status,
            long firstBodyByteNanos,
            int bodyReads,
            long bodyBytes,
            String bodyTail,
            boolean keepAlive) {}

    private static final int BUFFER_BYTES = 32 * 1024;
    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int BODY_TAIL_BYTES = 64;
    private static final int LENGTH_CHUNKED = -2;
    private static final int LENGTH_UNTIL_CLOSE = -1;

    private final InputStream mIn;
    private final LongSupplier mNanoClock;
    private final byte[] mBuffer = new byte[BUFFER_BYTES];
    private int mBufferPosition;
    private int mBufferLimit;
    private long mReadCount;
    private long mLastReadNanos;

    private long mFirstBodyByteNanos;
    private int mBodyReads;
    private long mBodyBytes;
    private long mReadCountAtLastBodyRead;
    private final StringBuilder mBodyTail = new StringBuilder();

    ResponseReader(InputStream in, LongSupplier nanoClock) {
        mIn = in;
        mNanoClock = nanoClock;
    }

    /**
     * Reads the response to a request whose method is not HEAD.
     *
     * @throws IOException if the connection ends before the response does, or the response is not
     *     valid HTTP
     */
    Response read() throws IOException {
        mFirstBodyByteNanos = 0;
        mBodyReads = 0;
        mBodyBytes = 0;
        mReadCountAtLastBodyRead = -1;
        mBodyTail.setLength(0);
        int status = parseStatus(readLine());
        boolean keepAlive = true;
        long length = LENGTH_UNTIL_CLOSE;
        for (String header = readLine(); !header.isEmpty(); header = readLine()) {
            String lower = header.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Long.parseLong(lower.substring("content-length:".length()).strip());
            } else if (lower.startsWith("transfer-encoding:") && lower.contains("chunked")) {
                length = LENGTH_CHUNKED;
            } else if (lower.startsWith("connection:") && lower.contains("close")) {
                keepAlive = false;
            }
        }
        if (status == 204 || status == 304) {
            length = 0;
        }
        if (length == LENGTH_CHUNKED) {
            readChunks();
        } else if (length == LENGTH_UNTIL_CLOSE) {
            keepAlive = false;
            readUntilClose();
        } else {
            readBody(length);
        }
        return new Response(
                status,
                mFirstBodyByteNanos,
                mBodyReads,
                mBodyBytes,
                mBodyTail.toString(),
                keepAlive);
    }

    private static int parseStatus(String line) throws IOException {
        String[] parts = line.split(" ", 3);
        if (parts.length < 2 || !parts[0].startsWith("HTTP/1.") || parts[1].length() != 3) {
            throw new IOException(
                    "the response does not start with an HTTP/1 status line: " + line);
        }
        return Integer.parseInt(parts[1]);
    }

    private void readChunks() throws IOException {
        while (true) {
            String line = readLine();
            int extensionStart = line.indexOf(';');
            String size = extensionStart < 0 ? line : line.substring(0, extensionStart);
            long length = Long.parseLong(size.strip(), 16);
            if (length == 0) {
                break;
            }
            readBody(length);
            if (!readLine().isEmpty()) {
                throw new IOException("a chunk of the response exceeds its declared length");
            }
        }
        while (!readLine().isEmpty()) {
            // Trailer fields are ignored.
        }
    }

    private void readUntilClose() throws IOException {
        while (mBufferPosition < mBufferLimit || fillBuffer()) {
            consumeBody(mBufferLimit - mBufferPosition);
        }
    }

    private void readBody(long length) throws IOException {
        long remaining = length;
        while (remaining > 0) {
            fillIfEmpty();
            int count = (int) Math.min(remaining, mBufferLimit - mBufferPosition);
            consumeBody(count);
            remaining -= count;
        }
    }

    private void consumeBody(int count) {
        if (mBodyBytes == 0) {
            mFirstBodyByteNanos = mLastReadNanos;
        }
        if (mReadCountAtLastBodyRead != mReadCount) {
            mReadCountAtLastBodyRead = mReadCount;
            mBodyReads++;
        }
        mBodyBytes += count;
        int kept = Math.min(count, BODY_TAIL_BYTES);
        mBodyTail.append(
                new String(
                        mBuffer,
                        mBufferPosition + count - kept,
                        kept,
                        StandardCharsets.ISO_8859_1));
        if (mBodyTail.length() > BODY_TAIL_BYTES) {
            mBodyTail.delete(0, mBodyTail.length() - BODY_TAIL_BYTES);
        }
        mBufferPosition += count;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.length() < MAX_LINE_BYTES) {
            fillIfEmpty();
            char next = (char) (mBuffer[mBufferPosition++] & 0xff);
            if (next == '\n') {
                int end = line.length();
                boolean endsWithCarriageReturn = end > 0 && line.charAt(end - 1) == '\r';
                return endsWithCarriageReturn ? line.substring(0, end - 1) : line.toString();
            }
            line.append(next);
        }
        throw new IOException(
                "a header or chunk line of the response is longer than "
                        + MAX_LINE_BYTES
                        + " bytes");
    }

    private void fillIfEmpty() throws IOException {
        if (mBufferPosition == mBufferLimit && !fillBuffer()) {
            throw new EOFException("the connection was closed before the end of the response");
        }
    }

    private boolean fillBuffer() throws IOException {
        int count = mIn.read(mBuffer);
        if (count < 0) {
            return false;
        }
        mLastReadNanos = mNanoClock.getAsLong();
        mReadCount++;
        mBufferPosition = 0;
        mBufferLimit = count;
        return true;
    }
}
