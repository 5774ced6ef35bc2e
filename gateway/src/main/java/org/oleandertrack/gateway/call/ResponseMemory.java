package org.oleandertrack.gateway.call;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory for parts of responses that wait for their rest or for their callers, over all
 * calls of a process. Thread-safe.
 */
public final class ResponseMemory {

    // Each response may take this much without a reservation, so that small ones are not affected
    // by large ones.
    private static final int UNRESERVED_BYTES = 16 * 1024;

    private final long mCapacityBytes;
    private final AtomicLong mReservedBytes = new AtomicLong();

    /** Creates a memory from which nothing is reserved. */
    public ResponseMemory(long capacityBytes) {
        mCapacityBytes = capacityBytes;
    }

    /** Returns the bytes that are reserved now. */
    long reservedBytes() {
        return mReservedBytes.get();
    }

    Share share() {
        return new Share();
    }

    private boolean reserve(long bytes) {
        if (mReservedBytes.addAndGet(bytes) > mCapacityBytes && bytes > 0) {
            mReservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** What one response has reserved. Not thread-safe. */
    final class Share {
        private int mShareBytes;

        private Share() {}

        /** Changes the reservation; returns false, without a change, if there is no room. */
        boolean resize(int heldBytes) {
            int wantedBytes = Math.max(0, heldBytes - UNRESERVED_BYTES);
            if (wantedBytes == mShareBytes) {
                return true;
            }
            if (!reserve(wantedBytes - mShareBytes)) {
                return false;
            }
            mShareBytes = wantedBytes;
            return true;
        }

        void release() {
            resize(0);
        }
    }
}
