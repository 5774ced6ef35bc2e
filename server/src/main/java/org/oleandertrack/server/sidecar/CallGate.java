package org.oleandertrack.server.sidecar;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.InboundCall;
import org.oleandertrack.protocol.message.Load;

/** Bounds the calls that run at the target; the others wait in a queue. Thread safe. */
final class CallGate {

    /** A call with its place in the queue. */
    record Ticket(InboundCall call, long arrivalNanos) {}

    /** Receives calls that are not accepted. */
    interface Refusal {

        void refuse(Ticket ticket, ResultCode code, String reason);
    }

    private final int mMaxRunning;
    private final int mMaxQueued;
    private final ArrayDeque<Ticket> mQueue = new ArrayDeque<>();
    private Consumer<Ticket> mRunner = ticket -> {};
    private int mRunning;
    private boolean mClosed;

    CallGate(int maxRunning, int maxQueued) {
        mMaxRunning = maxRunning;
        mMaxQueued = maxQueued;
    }

    // Operations

    /** Runs a call now or later, or refuses it. */
    void offer(Ticket ticket, Consumer<Ticket> runner, Refusal refusal) {
        ResultCode refused = null;
        boolean runNow = false;
        synchronized (this) {
            mRunner = runner;
            if (mClosed) {
                refused = ResultCode.SHUTTING_DOWN;
            } else if (mRunning < mMaxRunning) {
                mRunning++;
                runNow = true;
            } else if (mQueue.size() >= mMaxQueued) {
                refused = ResultCode.QUEUE_FULL;
            } else {
                mQueue.add(ticket);
            }
        }
        if (refused != null) {
            refusal.refuse(ticket, refused, refused.summary());
        } else if (runNow) {
            runner.accept(ticket);
        }
    }

    /** Takes a waiting call out of the queue, if it still waits. */
    synchronized void remove(Ticket ticket) {
        mQueue.remove(ticket);
    }

    /** Frees the place of a call that has ended and starts the next one. */
    void release(Ticket ticket) {
        Ticket next;
        Consumer<Ticket> runner;
        synchronized (this) {
            next = mQueue.poll();
            runner = mRunner;
            if (next == null) {
                mRunning--;
                notifyAll();
            }
        }
        if (next != null) {
            runner.accept(next);
        }
    }

    /** Refuses new calls from now on. */
    synchronized void close() {
        mClosed = true;
    }

    /** Waits until no call runs or waits. */
    synchronized void awaitIdle() throws InterruptedException {
        while (mRunning > 0 || !mQueue.isEmpty()) {
            wait();
        }
    }

    // Accessors

    synchronized Load load() {
        return Load.newBuilder().setRunning(mRunning).setQueued(mQueue.size()).build();
    }
}
