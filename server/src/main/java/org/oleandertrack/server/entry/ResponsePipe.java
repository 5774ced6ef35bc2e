package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.gateway.call.ErrorBody;
import org.oleandertrack.protocol.message.ResponseHead;

/**
 * Passes a response from the thread that runs the call to the thread that writes it to the caller.
 * The producer blocks while too many bytes are buffered. Thread safe.
 */
final class ResponsePipe implements ResponseSink {

    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    /** Line ends that complete an event, whether lines end with CR, LF or both. */
    private static final List<ByteString> EVENT_ENDS =
            List.of(
                    ByteString.copyFromUtf8("\n\n"),
                    ByteString.copyFromUtf8("\r\r"),
                    ByteString.copyFromUtf8("\n\r\n"));

    private static final int MAX_EVENT_END_BYTES = 3;

    private final CompletableFuture<ResponseHead> mHead = new CompletableFuture<>();
    private final CompletableFuture<Void> mCancelled = new CompletableFuture<>();
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mStateChanged = mLock.newCondition();
    private final ArrayDeque<ByteString> mBodyParts = new ArrayDeque<>();
    private int mBufferedBytes;
    private boolean mEnded;
    private ResultException mFailure;

    // Operations of the producer

    @Override
    public void writeHead(ResponseHead head) {
        mHead.complete(head);
    }

    @Override
    public void writeBody(ByteString data) {
        mLock.lock();
        try {
            while (mBufferedBytes > MAX_BUFFERED_BYTES && !mCancelled.isDone()) {
                mStateChanged.awaitUninterruptibly();
            }
            if (mCancelled.isDone()) {
                throw new ResultException(
                        ResultCode.CANCELLED, Execution.RUN, "the caller left", 0);
            }
            mBodyParts.add(data);
            mBufferedBytes += data.size();
            mStateChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    @Override
    public void end() {
        finish(null);
    }

    /**
     * Ends the response with a failure. If the head has not arrived yet, {@link #awaitHead} throws
     * the failure.
     */
    void fail(ResultException failure) {
        finish(failure);
        mHead.completeExceptionally(failure);
    }

    // Operations of the consumer

    /**
     * Waits for the head.
     *
     * @throws ResultException if the call failed before its head arrived
     */
    ResponseHead awaitHead() {
        try {
            return mHead.join();
        } catch (CompletionException e) {
            throw e.getCause() instanceof ResultException result ? result : e;
        }
    }

    /**
     * Writes the parts of the body as they arrive and flushes after each. If the call fails, an
     * event stream that ends with a complete event gets the failure as its last event.
     *
     * @throws IOException if the caller cannot be written to, or if the call failed. The server
     *     then breaks the response off, so that the caller does not mistake the part that was sent
     *     for the whole response
     */
    void writeTo(OutputStream output) throws IOException {
        ByteString tail = ByteString.EMPTY;
        try {
            for (ByteString part = takePart(); part != null; part = takePart()) {
                part.writeTo(output);
                output.flush();
                tail = lastBytes(tail.concat(part));
            }
        } catch (IOException e) {
            cancel();
            throw e;
        }
        ResultException failure = failure();
        if (failure == null) {
            return;
        }
        // Behind a part of an event, the caller would read the failure as the rest of it.
        if (isEventStream(mHead.join()) && isEventEnd(tail)) {
            output.write(ErrorBody.asEvent(failure));
            output.flush();
        }
        throw new IOException("the response ended early: " + failure.getMessage(), failure);
    }

    /** Tells the producer that the caller no longer waits for the response. */
    void cancel() {
        mCancelled.complete(null);
        mLock.lock();
        try {
            mStateChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    // Accessors

    @Override
    public boolean isUnsent() {
        return !mHead.isDone();
    }

    @Override
    public CompletableFuture<Void> cancelled() {
        return mCancelled;
    }

    // Helpers

    private static boolean isEventStream(ResponseHead head) {
        return head.getHeadersList().stream()
                .filter(header -> header.getName().equalsIgnoreCase("content-type"))
                .anyMatch(
                        header ->
                                header.getValue()
                                        .toLowerCase(Locale.ROOT)
                                        .startsWith("text/event-stream"));
    }

    private static ByteString lastBytes(ByteString bytes) {
        return bytes.substring(Math.max(0, bytes.size() - MAX_EVENT_END_BYTES));
    }

    /** Tells whether a stream that ends with the given bytes, or is empty, has no partial event. */
    private static boolean isEventEnd(ByteString tail) {
        return tail.isEmpty() || EVENT_ENDS.stream().anyMatch(tail::endsWith);
    }

    private void finish(ResultException failure) {
        mLock.lock();
        try {
            mFailure = failure;
            mEnded = true;
            mStateChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    private ResultException failure() {
        mLock.lock();
        try {
            return mFailure;
        } finally {
            mLock.unlock();
        }
    }

    private ByteString takePart() {
        mLock.lock();
        try {
            while (mBodyParts.isEmpty() && !mEnded) {
                mStateChanged.awaitUninterruptibly();
            }
            ByteString part = mBodyParts.poll();
            if (part != null) {
                mBufferedBytes -= part.size();
                mStateChanged.signalAll();
            }
            return part;
        } finally {
            mLock.unlock();
        }
    }
}
