package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.ResponseHead;

/** Tests what an HTTP caller receives of a stream that breaks off, byte by byte. */
final class BrokenOffStreamTest {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String EVENT = "data: {\"text\":\"a\"}\n\n";

    private static final int LONG_BODY_ELEMENTS = 5_000;

    private StreamServer mServer;

    @AfterEach
    void stop() throws Exception {
        mServer.stop();
    }

    /** Guards against a complete stream whose caller cannot recognise its end. */
    @Test
    void aCompleteStreamHasALastChunk() throws Exception {
        String response = respond(EVENT_STREAM, EVENT, Optional.empty());
        assertTrue(response.contains(EVENT), response);
        assertTrue(response.endsWith(StreamServer.LAST_CHUNK), response);
    }

    /** Guards against a stream that breaks off and ends as if it were complete. */
    @Test
    void aStreamThatBreaksOffEndsWithItsErrorAndWithoutLastChunk() throws Exception {
        String response = respond(EVENT_STREAM, EVENT, Optional.of(lost()));
        assertTrue(response.contains(EVENT), response);
        assertTrue(response.contains("event: error\ndata: {\"error\":{\"code\":4005"), response);
        assertTrue(response.contains("\"execution\":\"run\""), response);
        assertFalse(response.endsWith(StreamServer.LAST_CHUNK), response);
    }

    /** Guards against a body that breaks off and ends as if it were complete. */
    @Test
    void aBodyWithoutLengthThatBreaksOffHasNoLastChunk() throws Exception {
        String part = "[" + "1,".repeat(LONG_BODY_ELEMENTS);
        String response = respond("application/json", part, Optional.of(lost()));
        assertEquals(part, response);
    }

    /** Guards against a last chunk behind a response that has no body. */
    @Test
    void aResponseWithoutBodyHasNoChunks() throws Exception {
        mServer =
                new StreamServer(
                        (request, sink) -> {
                            sink.writeHead(ResponseHead.newBuilder().setStatus(204).build());
                            sink.end();
                        });
        String raw = readToEnd(StreamServer.LAST_REQUEST);
        assertTrue(raw.startsWith("HTTP/1.1 204 "), raw);
        assertTrue(raw.endsWith("\r\n\r\n"), raw);
        assertEquals(raw.length() - 4, raw.indexOf("\r\n\r\n"), raw);
        assertFalse(raw.toLowerCase(Locale.ROOT).contains("transfer-encoding"), raw);
    }

    /** Guards against the text of an error inside an event of the target. */
    @Test
    void aStreamThatBreaksOffWithinAnEventHasNoErrorInThatEvent() throws Exception {
        String response = respond(EVENT_STREAM, EVENT + "data: {\"te", Optional.of(lost()));
        assertTrue(response.contains(EVENT), response);
        assertFalse(response.contains("error"), response);
        assertFalse(response.endsWith(StreamServer.LAST_CHUNK), response);
    }

    /** Guards against a response that its caller takes for complete because its connection ends. */
    @Test
    void aBrokenOffStreamIsRecognisedOnAConnectionThatServesOneRequest() throws Exception {
        start(EVENT_STREAM, EVENT, Optional.of(lost()));
        String raw = readToEnd(StreamServer.LAST_REQUEST);
        assertTrue(raw.contains("data: "), raw);
        assertChunked(raw);
        assertFalse(raw.endsWith(StreamServer.LAST_CHUNK), raw);
    }

    /** Guards against an error that is withheld because the event before it ends in CR LF. */
    @Test
    void anErrorFollowsAnEventWhoseLinesEndWithCrLf() throws Exception {
        String response = respond(EVENT_STREAM, "data: 1\r\n\r\n", Optional.of(lost()));
        assertTrue(response.contains("data: 1\r\n\r\n"), response);
        assertTrue(response.contains("event: error\ndata: "), response);
        assertFalse(response.endsWith(StreamServer.LAST_CHUNK), response);
    }

    // Helpers

    /** Serves a response that has the text, in parts of one byte, and then ends or fails. */
    private void start(String contentType, String text, Optional<ResultException> failure)
            throws Exception {
        mServer =
                new StreamServer(
                        (request, sink) -> {
                            sink.writeHead(StreamServer.head(contentType));
                            for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
                                sink.writeBody(ByteString.copyFrom(new byte[] {b}));
                            }
                            if (failure.isPresent()) {
                                throw failure.get();
                            }
                            sink.end();
                        });
    }

    private String respond(String contentType, String text, Optional<ResultException> failure)
            throws Exception {
        start(contentType, text, failure);
        String raw = readToEnd(StreamServer.REQUEST);
        assertTrue(raw.startsWith("HTTP/1.1 200 "), raw);
        assertChunked(raw);
        assertEquals(raw.indexOf("HTTP/1.1 "), raw.lastIndexOf("HTTP/1.1 "), raw);
        return withoutChunkHeads(raw);
    }

    private String readToEnd(String request) throws IOException {
        try (Socket socket = mServer.send(request)) {
            return StreamServer.readUntil(socket, StreamServer.LAST_CHUNK);
        }
    }

    private static void assertChunked(String raw) {
        assertTrue(raw.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked"), raw);
    }

    /** Removes the sizes of all chunks except the last one, which has the size 0. */
    private static String withoutChunkHeads(String raw) {
        int bodyStart = raw.indexOf("\r\n\r\n") + 4;
        StringBuilder text = new StringBuilder();
        int position = bodyStart;
        while (position < raw.length()) {
            int lineEnd = raw.indexOf("\r\n", position);
            int size = Integer.parseInt(raw.substring(position, lineEnd), 16);
            if (size == 0) {
                return text + "\r\n" + raw.substring(position);
            }
            int dataEnd = lineEnd + 2 + size;
            text.append(raw, lineEnd + 2, Math.min(raw.length(), dataEnd));
            position = dataEnd + 2;
        }
        return text.toString();
    }

    private static ResultException lost() {
        return new ResultException(ResultCode.ATTEMPT_LOST, Execution.RUN, "lost", 0);
    }
}
