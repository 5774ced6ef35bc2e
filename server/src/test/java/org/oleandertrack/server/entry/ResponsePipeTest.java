package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.protocol.message.Header;
import org.oleandertrack.protocol.message.ResponseHead;

/** Tests the passing of a response from the thread of the call to the thread that writes it. */
final class ResponsePipeTest {

    private static final ResponseHead EVENT_STREAM_HEAD = head("text/event-stream; charset=utf-8");
    private static final ResponseHead JSON_HEAD = head("application/json");
    private static final int PART_BYTES = 64 << 10;
    private static final int MAX_BUFFERED_PARTS = 6;

    private final ResponsePipe mPipe = new ResponsePipe();
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();

    /** Guards against parts of the body that are lost or reordered. */
    @Test
    void responseArrivesCompletely() throws IOException {
        assertTrue(mPipe.isUnsent());
        mPipe.writeHead(JSON_HEAD);
        assertFalse(mPipe.isUnsent());
        mPipe.writeBody(ByteString.copyFromUtf8("ab"));
        mPipe.writeBody(ByteString.copyFromUtf8("cd"));
        mPipe.end();
        assertSame(JSON_HEAD, mPipe.awaitHead());
        mPipe.writeTo(mOutput);
        assertEquals("abcd", mOutput.toString(StandardCharsets.UTF_8));
    }

    /** Guards against unbounded buffering of a response whose caller reads slowly. */
    @Test
    void producerWaitsForASlowReader() throws Exception {
        mPipe.writeHead(JSON_HEAD);
        AtomicInteger sent = new AtomicInteger();
        CompletableFuture<Void> done = new CompletableFuture<>();
        int parts = 40;
        Thread producer = Thread.ofPlatform().start(() -> produce(parts, sent, done));
        Awaitility.await().until(() -> producer.getState() == Thread.State.WAITING);
        assertTrue(sent.get() <= MAX_BUFFERED_PARTS, "parts taken: " + sent.get());

        mPipe.writeTo(mOutput);
        done.get(10, TimeUnit.SECONDS);
        assertEquals(parts * PART_BYTES, mOutput.size());
    }

    /** Guards against a producer that waits forever after the caller has cancelled the call. */
    @Test
    void cancellationEndsAWaitingProducer() {
        mPipe.writeHead(JSON_HEAD);
        CompletableFuture<Void> done = new CompletableFuture<>();
        Thread producer = Thread.ofPlatform().start(() -> produce(40, new AtomicInteger(), done));
        Awaitility.await().until(() -> producer.getState() == Thread.State.WAITING);
        mPipe.cancel();
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> done.get(10, TimeUnit.SECONDS));
        ResultException result = (ResultException) failure.getCause();
        assertEquals(ResultCode.CANCELLED, result.code());
        assertEquals(Execution.RUN, result.execution());
    }

    /** Guards against a write failure that does not reach the producer. */
    @Test
    void failedWriteCancelsTheCall() {
        mPipe.writeHead(JSON_HEAD);
        mPipe.writeBody(ByteString.copyFromUtf8("a"));
        assertThrows(IOException.class, () -> mPipe.writeTo(new ClosedOutput()));
        assertTrue(mPipe.cancelled().isDone());
    }

    /** Guards against a refused call that gets a successful response. */
    @Test
    void failureBeforeTheHeadIsThrown() {
        ResultException refusal = new ResultException(ResultCode.OVERLOADED, "full");
        mPipe.fail(refusal);
        assertSame(refusal, assertThrows(ResultException.class, mPipe::awaitHead));
    }

    /**
     * Guards against a stream that ends early without telling whether the call was run, or that
     * ends like a complete one.
     */
    @Test
    void failureOfAnEventStreamIsItsLastEvent() {
        mPipe.writeHead(EVENT_STREAM_HEAD);
        mPipe.writeBody(ByteString.copyFromUtf8("data: 1\n\n"));
        mPipe.fail(new ResultException(ResultCode.STALLED, Execution.RUN, "stalled", 0));
        assertThrows(IOException.class, () -> mPipe.writeTo(mOutput));
        String text = mOutput.toString(StandardCharsets.UTF_8);
        assertTrue(text.startsWith("data: 1\n\nevent: error\ndata: {\"error\":"), text);
        assertTrue(text.contains("\"execution\":\"run\""), text);
    }

    /**
     * Guards against a partial response that ends like a complete one, or has an error message
     * inside its body.
     */
    @Test
    void failureOfAnotherResponseThrowsIOException() {
        mPipe.writeHead(JSON_HEAD);
        mPipe.writeBody(ByteString.copyFromUtf8("{\"a\":"));
        mPipe.fail(new ResultException(ResultCode.ATTEMPT_LOST, Execution.RUN, "lost", 0));
        assertThrows(IOException.class, () -> mPipe.writeTo(mOutput));
        assertEquals("{\"a\":", mOutput.toString(StandardCharsets.UTF_8));
    }

    private void produce(int parts, AtomicInteger sent, CompletableFuture<Void> done) {
        try {
            for (int i = 0; i < parts; i++) {
                mPipe.writeBody(ByteString.copyFrom(new byte[PART_BYTES]));
                sent.incrementAndGet();
            }
            mPipe.end();
            done.complete(null);
        } catch (ResultException e) {
            done.completeExceptionally(e);
        }
    }

    private static ResponseHead head(String contentType) {
        return ResponseHead.newBuilder()
                .setStatus(200)
                .addHeaders(Header.newBuilder().setName("content-type").setValue(contentType))
                .build();
    }

    private static final class ClosedOutput extends OutputStream {

        @Override
        public void write(int b) throws IOException {
            throw new IOException("closed");
        }
    }
}
