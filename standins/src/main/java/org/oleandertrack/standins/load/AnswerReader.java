package org.oleandertrack.standins.load;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.LongSupplier;

/**
 * Reads HTTP/1.1 answers from a connection that is kept open. Used by one thread.
 *
 * <p>Plain sockets take less processor time than the JDK's HttpClient, which matters because the
 * client shares the host with the processes it measures.
 */
final class AnswerReader {

    /**
     * A received answer.
     *
     * @param firstByteNanos when the first byte of the body arrived, by the clock of the reader; 0
     *     if there is no body
     * @param bodyArrivals how many reads from the connection delivered bytes of the body
     * @param bodyEnd the last bytes of the body
     * @param keepAlive whether the connection can carry another request
     */
    record Answer(
            int status,
            long firstByteNanos,
            int bodyArrivals,
            long bodyBytes,
            String bodyEnd,
            boolean keepAlive) {}

    private static final int BUFFER_BYTES = 32 * 1024;
    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int BODY_END_BYTES = 64;
    private static final int CHUNKED = -2;
    private static final int UNTIL_CLOSE = -1;

    private final InputStream mIn;
    private final LongSupplier mNanoClock;
    private final byte[] mBuffer = new byte[BUFFER_BYTES];
    private int mPosition;
    private int mLimit;
    private long mReads;
    private long mLastReadNanos;

    private long mFirstByteNanos;
    private int mBodyArrivals;
    private long mBodyBytes;
    private long mLastReadWithBody;
    private final StringBuilder mBodyEnd = new StringBuilder();

    AnswerReader(InputStream in, LongSupplier nanoClock) {
        mIn = in;
        mNanoClock = nanoClock;
    }

    /**
     * Reads one answer to a request whose method is not HEAD.
     *
     * @throws IOException if the connection ends before the answer does, or the answer is not HTTP
     */
    Answer read() throws IOException {
        mFirstByteNanos = 0;
        mBodyArrivals = 0;
        mBodyBytes = 0;
        mLastReadWithBody = -1;
        mBodyEnd.setLength(0);
        int status = status(line());
        boolean keepAlive = true;
        long length = UNTIL_CLOSE;
        for (String header = line(); !header.isEmpty(); header = line()) {
            String lower = header.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Long.parseLong(lower.substring("content-length:".length()).strip());
            } else if (lower.startsWith("transfer-encoding:") && lower.contains("chunked")) {
                length = CHUNKED;
            } else if (lower.startsWith("connection:") && lower.contains("close")) {
                keepAlive = false;
            }
        }
        if (status == 204 || status == 304) {
            length = 0;
        }
        if (length == CHUNKED) {
            readChunks();
        } else if (length == UNTIL_CLOSE) {
            keepAlive = false;
            readUntilClose();
        } else {
            readBody(length);
        }
        return new Answer(
                status, mFirstByteNanos, mBodyArrivals, mBodyBytes, mBodyEnd.toString(), keepAlive);
    }

    private static int status(String line) throws IOException {
        String[] parts = line.split(" ", 3);
        if (parts.length < 2 || !parts[0].startsWith("HTTP/1.") || parts[1].length() != 3) {
            throw new IOException("not a status line: " + line);
        }
        return Integer.parseInt(parts[1]);
    }

    private void readChunks() throws IOException {
        while (true) {
            String line = line();
            int extension = line.indexOf(';');
            String size = extension < 0 ? line : line.substring(0, extension);
            long length = Long.parseLong(size.strip(), 16);
            if (length == 0) {
                break;
            }
            readBody(length);
            if (!line().isEmpty()) {
                throw new IOException("a chunk is longer than its length says");
            }
        }
        while (!line().isEmpty()) {
            // Trailers are of no interest.
        }
    }

    private void readUntilClose() throws IOException {
        while (mPosition < mLimit || fill()) {
            consumeBody(mLimit - mPosition);
        }
    }

    private void readBody(long length) throws IOException {
        long remaining = length;
        while (remaining > 0) {
            requireBytes();
            int count = (int) Math.min(remaining, mLimit - mPosition);
            consumeBody(count);
            remaining -= count;
        }
    }

    private void consumeBody(int count) {
        if (mBodyBytes == 0) {
            mFirstByteNanos = mLastReadNanos;
        }
        if (mLastReadWithBody != mReads) {
            mLastReadWithBody = mReads;
            mBodyArrivals++;
        }
        mBodyBytes += count;
        int kept = Math.min(count, BODY_END_BYTES);
        mBodyEnd.append(
                new String(mBuffer, mPosition + count - kept, kept, StandardCharsets.ISO_8859_1));
        if (mBodyEnd.length() > BODY_END_BYTES) {
            mBodyEnd.delete(0, mBodyEnd.length() - BODY_END_BYTES);
        }
        mPosition += count;
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.length() < MAX_LINE_BYTES) {
            requireBytes();
            char next = (char) (mBuffer[mPosition++] & 0xff);
            if (next == '\n') {
                int end = line.length();
                boolean carriageReturn = end > 0 && line.charAt(end - 1) == '\r';
                return carriageReturn ? line.substring(0, end - 1) : line.toString();
            }
            line.append(next);
        }
        throw new IOException("a line is longer than " + MAX_LINE_BYTES + " bytes");
    }

    private void requireBytes() throws IOException {
        if (mPosition == mLimit && !fill()) {
            throw new EOFException("the connection was closed within an answer");
        }
    }

    private boolean fill() throws IOException {
        int count = mIn.read(mBuffer);
        if (count < 0) {
            return false;
        }
        mLastReadNanos = mNanoClock.getAsLong();
        mReads++;
        mPosition = 0;
        mLimit = count;
        return true;
    }
}
