package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests when the parts of a response and refusals reach an HTTP caller. */
final class StreamDeliveryTest {

    private static final String EVENT = "data: {\"text\":\"a\"}\n\n";

    private final CountDownLatch mStarted = new CountDownLatch(1);
    private final CountDownLatch mMayEnd = new CountDownLatch(1);

    private StreamServer mServer;

    @BeforeEach
    void start() throws Exception {
        mServer = new StreamServer(this::streamUntilItMayEnd);
    }

    @AfterEach
    void stop() throws Exception {
        mMayEnd.countDown();
        mServer.stop();
    }

    /** Guards against events that are held back until the stream ends. */
    @Test
    void anEventArrivesWhileTheNextOneIsAwaited() throws Exception {
        try (Socket socket = mServer.send(StreamServer.REQUEST)) {
            String start = StreamServer.readUntil(socket, EVENT);
            assertTrue(start.endsWith(EVENT), start);
            mMayEnd.countDown();
            String end = StreamServer.readUntil(socket, StreamServer.LAST_CHUNK);
            assertTrue(end.endsWith(StreamServer.LAST_CHUNK), end);
        }
    }

    /** Guards against a request that arrives during a stop and is cut off without an answer. */
    @Test
    void aRequestThatArrivesDuringAStopIsRefusedAsNotRun() throws Exception {
        try (Socket late = mServer.connect();
                Socket running = mServer.send(StreamServer.REQUEST)) {
            await(mStarted);
            mServer.limiter().close();
            StreamServer.write(late, StreamServer.LAST_REQUEST);
            String refusal = StreamServer.readUntil(late, StreamServer.LAST_CHUNK);
            assertTrue(refusal.startsWith("HTTP/1.1 503 "), refusal);
            assertTrue(refusal.contains("Oleandertrack-Execution: not run"), refusal);
            assertTrue(refusal.contains("\"code\":3006"), refusal);
            mMayEnd.countDown();
            mServer.limiter().awaitIdle();
            mServer.stop();
            String response = StreamServer.readUntil(running, StreamServer.LAST_CHUNK);
            assertTrue(response.contains(EVENT), response);
            assertTrue(response.endsWith(StreamServer.LAST_CHUNK), response);
        }
    }

    // Helpers

    private void streamUntilItMayEnd(CallerRequest request, ResponseSink sink) {
        sink.writeHead(StreamServer.head("text/event-stream"));
        sink.writeBody(ByteString.copyFromUtf8(EVENT));
        mStarted.countDown();
        await(mMayEnd);
        sink.end();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(StreamServer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
