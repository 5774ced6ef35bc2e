package org.oleandertrack.server.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Limits the number of running calls and the total size of their request bodies. At shutdown,
 * {@link #awaitIdle} waits until the last call has ended. Thread safe.
 */
final class CallLimiter {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final int mMaxCalls;
    private final long mMaxBytes;
    private int mRunningCalls;
    private long mBodyBytes;
    private boolean mClosed;

    CallLimiter(int maxCalls, long maxBytes) {
        mMaxCalls = maxCalls;
        mMaxBytes = maxBytes;
    }

    /** Permission to run one call; must be closed when the call has ended. */
    final class Permit implements AutoCloseable {

        private final long mHeldBytes;
        private final AtomicBoolean mOpen = new AtomicBoolean(true);

        private Permit(long heldBytes) {
            mHeldBytes = heldBytes;
        }

        /** Releases the call and its bytes; has no effect when repeated. */
        @Override
        public void close() {
            if (mOpen.getAndSet(false)) {
                release(mHeldBytes);
            }
        }
    }

    // Operations

    /**
     * Admits a call.
     *
     * @param bytes size of the request body
     * @throws ResultException if a limit is reached or the limiter is closed
     */
    synchronized Permit acquire(long bytes) {
        if (mClosed) {
            throw refusal(ResultCode.SHUTTING_DOWN);
        }
        if (mRunningCalls >= mMaxCalls) {
            throw refusal(ResultCode.CONNECTION_LIMIT_REACHED);
        }
        if (mBodyBytes + bytes > mMaxBytes) {
            throw refusal(ResultCode.MEMORY_LIMIT_REACHED);
        }
        mRunningCalls++;
        mBodyBytes += bytes;
        return new Permit(bytes);
    }

    /** Refuses new calls from now on. */
    synchronized void close() {
        mClosed = true;
    }

    /** Waits until no call is running. */
    synchronized void awaitIdle() throws InterruptedException {
        while (mRunningCalls > 0) {
            wait();
        }
    }

    // Accessors

    synchronized boolean isClosed() {
        return mClosed;
    }

    synchronized int calls() {
        return mRunningCalls;
    }

    // Helpers

    private synchronized void release(long bytes) {
        mRunningCalls--;
        mBodyBytes -= bytes;
        notifyAll();
    }

    private static ResultException refusal(ResultCode code) {
        return new ResultException(code, code.summary()).withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }
}
