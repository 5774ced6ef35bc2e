package org.oleandertrack.standins.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class AnswerReaderTest {

    private static final String CHUNKED_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final AtomicLong mNanos = new AtomicLong();

    /** Guards against a buffered stream that is reported as one that arrived piece by piece. */
    @Test
    void arrivalsAreReadsThatDeliverBodyBytes() throws Exception {
        AnswerReader pieces = reader(CHUNKED_HEAD, "2\r\nab\r\n", "2\r\ncd\r\n", "0\r\n", "\r\n");
        AnswerReader atOnce = reader(CHUNKED_HEAD + "2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n");

        AnswerReader.Answer inPieces = pieces.read();
        assertEquals(2, inPieces.bodyArrivals());
        assertEquals("abcd", inPieces.bodyEnd());
        assertEquals(1, atOnce.read().bodyArrivals());
    }

    /** Guards against a time to first byte that counts the head of the answer. */
    @Test
    void firstByteIsTheFirstOneOfTheBody() throws Exception {
        AnswerReader reader = reader(CHUNKED_HEAD, "1\r", "\na\r\n0\r\n\r\n");

        // Each read takes one nanosecond of the test's clock, and the third brings the body.
        assertEquals(3, reader.read().firstByteNanos());
    }

    /** Guards against bytes of one answer that are taken for the next one. */
    @Test
    void answersOnOneConnectionAreSeparated() throws Exception {
        AnswerReader reader =
                reader(
                        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 404 Not",
                        " Found\r\nContent-Length: 0\r\n\r\n"
                                + CHUNKED_HEAD
                                + "1\r\nx\r\n0\r\n\r\n");

        AnswerReader.Answer first = reader.read();
        assertEquals(200, first.status());
        assertEquals(3, first.bodyBytes());
        AnswerReader.Answer second = reader.read();
        assertEquals(404, second.status());
        assertEquals(0, second.bodyArrivals());
        assertEquals("x", reader.read().bodyEnd());
    }

    /** Guards against an answer that is cut off and still counts as complete. */
    @Test
    void cutAnswerIsAnError() {
        assertThrows(EOFException.class, () -> reader(CHUNKED_HEAD, "2\r\nab\r\n").read());
        assertThrows(
                EOFException.class,
                () -> reader("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab").read());
        assertThrows(EOFException.class, () -> reader().read());
    }

    /** Guards against a connection that is used again although the server closes it. */
    @Test
    void closingAnswerDoesNotKeepTheConnection() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na";
        assertFalse(reader(head).read().keepAlive());
        assertFalse(reader("HTTP/1.1 200 OK\r\n\r\nuntil the end").read().keepAlive());
    }

    private AnswerReader reader(String... pieces) {
        Deque<String> remaining = new ArrayDeque<>(List.of(pieces));
        InputStream in =
                new InputStream() {
                    @Override
                    public int read() throws IOException {
                        throw new IOException("single bytes are not read");
                    }

                    @Override
                    public int read(byte[] buffer, int offset, int length) {
                        if (remaining.isEmpty()) {
                            return -1;
                        }
                        mNanos.incrementAndGet();
                        byte[] piece = remaining.remove().getBytes(StandardCharsets.US_ASCII);
                        System.arraycopy(piece, 0, buffer, offset, piece.length);
                        return piece.length;
                    }
                };
        return new AnswerReader(in, mNanos::get);
    }
}
