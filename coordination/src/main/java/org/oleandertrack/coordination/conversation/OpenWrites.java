package org.oleandertrack.coordination.conversation;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory for repeated writes of turns that the store has not answered. Thread-safe. */
final class OpenWrites {

    private final long mMaxRepeatedBytes;
    private final AtomicLong mBytes = new AtomicLong();

    /**
     * Creates a bound without open writes.
     *
     * @param maxRepeatedBytes size of all open writes up to which one is repeated, in bytes
     */
    OpenWrites(long maxRepeatedBytes) {
        mMaxRepeatedBytes = maxRepeatedBytes;
    }

    /** Adds the only open write of a turn, which is always made. */
    void add(int sizeBytes) {
        mBytes.addAndGet(sizeBytes);
    }

    /** Adds a further write of a turn; returns false if there is no room for it. */
    boolean tryAdd(int sizeBytes) {
        long bytes = mBytes.addAndGet(sizeBytes);
        if (bytes > mMaxRepeatedBytes) {
            mBytes.addAndGet(-sizeBytes);
            return false;
        }
        return true;
    }

    void remove(int sizeBytes) {
        mBytes.addAndGet(-sizeBytes);
    }
}
