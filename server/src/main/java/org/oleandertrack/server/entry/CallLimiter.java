package org.oleandertrack.server.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Bounds the calls and request bytes held at once, and knows when none is left. Thread safe. */
final class CallLimiter {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final int mMaxCalls;
    private final long mMaxBytes;
    private int mCalls;
    private long mBytes;
    private boolean mClosed;

    CallLimiter(int maxCalls, long maxBytes) {
        mMaxCalls = maxCalls;
        mMaxBytes = maxBytes;
    }

    /** A place for one call, given back by closing it. */
    final class Permit implements AutoCloseable {

        private final long mHeldBytes;
        private final AtomicBoolean mOpen = new AtomicBoolean(true);

        private Permit(long heldBytes) {
            mHeldBytes = heldBytes;
        }

        /** Gives the place back; has no effect when repeated. */
        @Override
        public void close() {
            if (mOpen.getAndSet(false)) {
                release(mHeldBytes);
            }
        }
    }

    // Operations

    /** Takes a place for a call or refuses it. */
    synchronized Permit acquire(long bytes) {
        if (mClosed) {
            throw refusal(ResultCode.SHUTTING_DOWN);
        }
        if (mCalls >= mMaxCalls) {
            throw refusal(ResultCode.CONNECTION_LIMIT_REACHED);
        }
        if (mBytes + bytes > mMaxBytes) {
            throw refusal(ResultCode.MEMORY_LIMIT_REACHED);
        }
        mCalls++;
        mBytes += bytes;
        return new Permit(bytes);
    }

    /** Refuses new calls from now on. */
    synchronized void close() {
        mClosed = true;
    }

    /** Waits until no call is left. */
    synchronized void awaitIdle() throws InterruptedException {
        while (mCalls > 0) {
            wait();
        }
    }

    // Accessors

    synchronized boolean isClosed() {
        return mClosed;
    }

    synchronized int calls() {
        return mCalls;
    }

    // Helpers

    private synchronized void release(long bytes) {
        mCalls--;
        mBytes -= bytes;
        notifyAll();
    }

    private static ResultException refusal(ResultCode code) {
        return new ResultException(code, code.summary()).withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }
}
