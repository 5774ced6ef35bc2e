package org.oleandertrack.core.organisation.limit;

/**
 * Number of events within a sliding window, counted in slots of a tenth of the window. Not
 * thread-safe.
 */
final class WindowCount {

    private static final int SLOTS = 10;

    private final long mSlotNanos;
    private final int[] mCounts = new int[SLOTS];
    private long mSlot = Long.MIN_VALUE;
    private int mTotal;

    WindowCount(long windowNanos) {
        mSlotNanos = windowNanos / SLOTS;
    }

    void add(long nowNanos) {
        advance(nowNanos);
        mCounts[Math.floorMod(mSlot, SLOTS)]++;
        mTotal++;
    }

    int total(long nowNanos) {
        advance(nowNanos);
        return mTotal;
    }

    private void advance(long nowNanos) {
        long slot = Math.floorDiv(nowNanos, mSlotNanos);
        long first = Math.max(mSlot + 1, slot - SLOTS + 1);
        for (long passed = first; passed <= slot; passed++) {
            int index = Math.floorMod(passed, SLOTS);
            mTotal -= mCounts[index];
            mCounts[index] = 0;
        }
        mSlot = Math.max(mSlot, slot);
    }
}
