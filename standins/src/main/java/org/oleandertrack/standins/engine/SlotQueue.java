package org.oleandertrack.standins.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Hands out the engine's slots by priority, then by arrival. Thread-safe. */
final class SlotQueue {

    /** Told of each change, in the order of the changes. */
    @FunctionalInterface
    interface ChangeListener {
        void changed(int running, int waiting);
    }

    private static final class Waiter {
        final int mPriority;
        final long mArrival;
        final Condition mGranted;
        final Runnable mOnGranted;
        boolean mHasSlot;

        Waiter(int priority, long arrival, Condition granted, Runnable onGranted) {
            mPriority = priority;
            mArrival = arrival;
            mGranted = granted;
            mOnGranted = onGranted;
        }
    }

    private static final Comparator<Waiter> ORDER =
            Comparator.<Waiter>comparingInt(w -> w.mPriority).thenComparingLong(w -> w.mArrival);

    private final ReentrantLock mLock = new ReentrantLock();
    private final PriorityQueue<Waiter> mWaiting = new PriorityQueue<>(ORDER);
    private final int mSlots;
    private final ChangeListener mListener;
    private long mArrivals;
    private int mRunning;

    SlotQueue(int slots, ChangeListener listener) {
        mSlots = slots;
        mListener = listener;
    }

    /**
     * Waits for a slot.
     *
     * @param onGranted called when the slot is granted, in the order of the grants
     * @throws InterruptedException if the thread is interrupted; it then holds no slot
     */
    void acquire(int priority, Runnable onGranted) throws InterruptedException {
        mLock.lock();
        try {
            Waiter waiter = new Waiter(priority, mArrivals++, mLock.newCondition(), onGranted);
            mWaiting.add(waiter);
            grant();
            try {
                while (!waiter.mHasSlot) {
                    waiter.mGranted.await();
                }
            } catch (InterruptedException e) {
                if (!mWaiting.remove(waiter)) {
                    mRunning--;
                }
                grant();
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
            grant();
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

    /** Hands out free slots; called after each change, under the lock. */
    private void grant() {
        while (mRunning < mSlots && !mWaiting.isEmpty()) {
            Waiter next = mWaiting.remove();
            next.mHasSlot = true;
            mRunning++;
            next.mOnGranted.run();
            next.mGranted.signal();
        }
        mListener.changed(mRunning, mWaiting.size());
    }
}
