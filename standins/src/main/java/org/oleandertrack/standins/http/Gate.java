package org.oleandertrack.standins.http;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** A gate at which requests wait while it is closed. Thread-safe. */
public final class Gate {

    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mOpened = mLock.newCondition();
    private boolean mClosed;
    private int mHeld;

    /** Opens or closes the gate; opening releases all that wait. */
    public void setClosed(boolean closed) {
        mLock.lock();
        try {
            mClosed = closed;
            mOpened.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /** Returns how many requests wait at the gate now. */
    public int held() {
        mLock.lock();
        try {
            return mHeld;
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Waits until the gate is open.
     *
     * @return whether it was closed when the call began
     * @throws ConnectionAbortException if the thread is interrupted
     */
    public boolean pass() throws ConnectionAbortException {
        mLock.lock();
        try {
            boolean waited = mClosed;
            mHeld++;
            try {
                while (mClosed) {
                    mOpened.await();
                }
            } finally {
                mHeld--;
            }
            return waited;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConnectionAbortException("interrupted while held");
        } finally {
            mLock.unlock();
        }
    }
}
