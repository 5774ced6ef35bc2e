package org.oleandertrack.server.entry;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
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
 * Carries an answer from the thread that runs the call to the thread that writes to the caller.
 * Bounded in bytes. Thread safe.
 */
final class ResponsePipe implements ResponseSink {

    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    private final CompletableFuture<ResponseHead> mHead = new CompletableFuture<>();
    private final CompletableFuture<Void> mCancelled = new CompletableFuture<>();
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final ArrayDeque<ByteString> mParts = new ArrayDeque<>();
    private int mBufferedBytes;
    private boolean mEnded;
    private ResultException mFailure;

    // Operations of the producer

    @Override
    public void head(ResponseHead head) {
        mHead.complete(head);
    }

    @Override
    public void body(ByteString data) {
        mLock.lock();
        try {
            while (mBufferedBytes > MAX_BUFFERED_BYTES && !mCancelled.isDone()) {
                mChanged.awaitUninterruptibly();
            }
            if (mCancelled.isDone()) {
                throw new ResultException(
                        ResultCode.CANCELLED, Execution.RUN, "the caller left", 0);
            }
            mParts.add(data);
            mBufferedBytes += data.size();
            mChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    @Override
    public void end() {
        finish(null);
    }

    /** Ends the answer with a failure; one before the head becomes the whole answer. */
    void fail(ResultException failure) {
        finish(failure);
        mHead.completeExceptionally(failure);
    }

    // Operations of the consumer

    /** Waits for the head; throws the failure if there is none. */
    ResponseHead awaitHead() {
        try {
            return mHead.join();
        } catch (CompletionException e) {
            throw e.getCause() instanceof ResultException result ? result : e;
        }
    }

    /**
     * Writes the parts as they arrive, each followed by a flush. A failure becomes the last event
     * of an event stream.
     *
     * @throws IOException if the caller cannot be written to, or if an answer of another form
     *     fails: the server then breaks the connection, so that the caller does not take the part
     *     for the whole
     */
    void writeTo(OutputStream output) throws IOException {
        try {
            for (ByteString part = take(); part != null; part = take()) {
                part.writeTo(output);
                output.flush();
            }
        } catch (IOException e) {
            cancel();
            throw e;
        }
        ResultException failure = failure();
        if (failure == null) {
            return;
        }
        if (!isEventStream(mHead.join())) {
            throw new IOException("the answer broke off: " + failure.getMessage(), failure);
        }
        output.write(ErrorBody.asEvent(failure));
        output.flush();
    }

    /** Tells the producer that the caller has left. */
    void cancel() {
        mCancelled.complete(null);
        mLock.lock();
        try {
            mChanged.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    // Accessors

    @Override
    public boolean isUncommitted() {
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

    private void finish(ResultException failure) {
        mLock.lock();
        try {
            mFailure = failure;
            mEnded = true;
            mChanged.signalAll();
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

    private ByteString take() {
        mLock.lock();
        try {
            while (mParts.isEmpty() && !mEnded) {
                mChanged.awaitUninterruptibly();
            }
            ByteString part = mParts.poll();
            if (part != null) {
                mBufferedBytes -= part.size();
                mChanged.signalAll();
            }
            return part;
        } finally {
            mLock.unlock();
        }
    }
}
