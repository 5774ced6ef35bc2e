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

class ResponseReaderTest {

    private static final String CHUNKED_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final AtomicLong mNanos = new AtomicLong();

    /** Guards against reporting a stream that was buffered as one that arrived in pieces. */
    @Test
    void bodyReadsAreReadsThatReturnBodyBytes() throws Exception {
        ResponseReader pieces = reader(CHUNKED_HEAD, "2\r\nab\r\n", "2\r\ncd\r\n", "0\r\n", "\r\n");
        ResponseReader atOnce = reader(CHUNKED_HEAD + "2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n");

        ResponseReader.Response inPieces = pieces.read();
        assertEquals(2, inPieces.bodyReads());
        assertEquals("abcd", inPieces.bodyTail());
        assertEquals(1, atOnce.read().bodyReads());
    }

    /** Guards against taking the time to first byte from the status line or headers. */
    @Test
    void firstBodyByteIsNotTheFirstByteOfTheHeaders() throws Exception {
        ResponseReader reader = reader(CHUNKED_HEAD, "1\r", "\na\r\n0\r\n\r\n");

        // Each read advances the test clock by 1 ns, and the third read returns the body.
        assertEquals(3, reader.read().firstBodyByteNanos());
    }

    /** Guards against assigning bytes of one response to the next one on the same connection. */
    @Test
    void responsesOnOneConnectionAreSeparated() throws Exception {
        ResponseReader reader =
                reader(
                        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 404 Not",
                        " Found\r\nContent-Length: 0\r\n\r\n"
                                + CHUNKED_HEAD
                                + "1\r\nx\r\n0\r\n\r\n");

        ResponseReader.Response first = reader.read();
        assertEquals(200, first.status());
        assertEquals(3, first.bodyBytes());
        ResponseReader.Response second = reader.read();
        assertEquals(404, second.status());
        assertEquals(0, second.bodyReads());
        assertEquals("x", reader.read().bodyTail());
    }

    /** Guards against treating a truncated response as complete. */
    @Test
    void truncatedResponseIsAnError() {
        assertThrows(EOFException.class, () -> reader(CHUNKED_HEAD, "2\r\nab\r\n").read());
        assertThrows(
                EOFException.class,
                () -> reader("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab").read());
        assertThrows(EOFException.class, () -> reader().read());
    }

    /** Guards against reusing a connection that the server closes. */
    @Test
    void responseThatClosesTheConnectionIsNotKeepAlive() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na";
        assertFalse(reader(head).read().keepAlive());
        assertFalse(reader("HTTP/1.1 200 OK\r\n\r\nuntil the end").read().keepAlive());
    }

    private ResponseReader reader(String... pieces) {
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
        return new ResponseReader(in, mNanos::get);
    }
}
