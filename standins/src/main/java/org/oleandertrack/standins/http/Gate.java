package org.oleandertrack.standins.http;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** A gate that blocks requests while it is closed. Thread-safe. */
public final class Gate {

    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mOpened = mLock.newCondition();
    private boolean mClosed;
    private int mWaitingRequests;

    /** Opens or closes the gate; opening it releases all waiting requests. */
    public void setClosed(boolean closed) {
        mLock.lock();
        try {
            mClosed = closed;
            mOpened.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the number of requests that currently wait at the gate. */
    public int waitingRequests() {
        mLock.lock();
        try {
            return mWaitingRequests;
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Waits until the gate is open.
     *
     * @return whether the gate was closed when the call began
     * @throws ConnectionAbortException if the thread is interrupted
     */
    public boolean awaitOpen() throws ConnectionAbortException {
        mLock.lock();
        try {
            boolean wasClosed = mClosed;
            mWaitingRequests++;
            try {
                while (mClosed) {
                    mOpened.await();
                }
            } finally {
                mWaitingRequests--;
            }
            return wasClosed;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConnectionAbortException("interrupted during a simulated hang");
        } finally {
            mLock.unlock();
        }
    }
}
