package org.oleandertrack.standins.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Grants the engine's slots to waiting requests by priority (a lower number is served first), then
 * by arrival. Thread-safe.
 */
final class SlotQueue {

    /** Receives the counts of running and waiting requests after each change, in order. */
    @FunctionalInterface
    interface ChangeListener {
        void onChange(int running, int waiting);
    }

    private static final class Waiter {
        final int mPriority;
        final long mArrivalNumber;
        final Condition mGranted;
        final Runnable mOnGranted;
        boolean mHasSlot;

        Waiter(int priority, long arrivalNumber, Condition granted, Runnable onGranted) {
            mPriority = priority;
            mArrivalNumber = arrivalNumber;
            mGranted = granted;
            mOnGranted = onGranted;
        }
    }

    private static final Comparator<Waiter> BY_PRIORITY_AND_ARRIVAL =
            Comparator.<Waiter>comparingInt(w -> w.mPriority)
                    .thenComparingLong(w -> w.mArrivalNumber);

    private final ReentrantLock mLock = new ReentrantLock();
    private final PriorityQueue<Waiter> mWaiting = new PriorityQueue<>(BY_PRIORITY_AND_ARRIVAL);
    private final int mSlots;
    private final ChangeListener mListener;
    private long mNextArrivalNumber;
    private int mRunning;

    SlotQueue(int slots, ChangeListener listener) {
        mSlots = slots;
        mListener = listener;
    }

    /**
     * Waits for a slot.
     *
     * @param onGranted called when the slot is granted, in the order of the grants
     * @throws InterruptedException if the thread is interrupted; it holds no slot in that case
     */
    void acquire(int priority, Runnable onGranted) throws InterruptedException {
        mLock.lock();
        try {
            Waiter waiter =
                    new Waiter(priority, mNextArrivalNumber++, mLock.newCondition(), onGranted);
            mWaiting.add(waiter);
            grantFreeSlots();
            try {
                while (!waiter.mHasSlot) {
                    waiter.mGranted.await();
                }
            } catch (InterruptedException e) {
                if (!mWaiting.remove(waiter)) {
                    mRunning--;
                }
                grantFreeSlots();
                throw e;
            }
        } finally {
            mLock.unlock();
        }
    }

    void release() {
        mLock.lock();
        try {
            mRunning--;
            grantFreeSlots();
        } finally {
            mLock.unlock();
        }
    }

    int running() {
        mLock.lock();
        try {
            return mRunning;
        } finally {
            mLock.unlock();
        }
    }

    int waiting() {
        mLock.lock();
        try {
            return mWaiting.size();
        } finally {
            mLock.unlock();
        }
    }

    /** Grants the free slots and informs the listener. The caller holds the lock. */
    private void grantFreeSlots() {
        while (mRunning < mSlots && !mWaiting.isEmpty()) {
            Waiter next = mWaiting.remove();
            next.mHasSlot = true;
            mRunning++;
            next.mOnGranted.run();
            next.mGranted.signal();
        }
        mListener.onChange(mRunning, mWaiting.size());
    }
}
