package org.oleandertrack.server.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import org.oleandertrack.core.queue.CallQueue;
import org.oleandertrack.core.queue.OfferResult;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;
import org.oleandertrack.core.queue.QueueLoad;
import org.oleandertrack.core.queue.QueuedCall;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.message.Load;

/**
 * Orders the calls that wait for the target and bounds those that run there. Thread safe: the queue
 * is guarded by one lock, and listeners are called without it.
 */
final class CallGate {

    /** Takes the calls that leave the queue. */
    interface Listener {

        /**
         * The call may run now; {@link #finished} must follow.
         *
         * @return false if the call was refused instead; its place is then free again, and {@link
         *     #finished} must not follow
         */
        boolean onStart(WaitingCall call);

        /** The call was not taken or can no longer start; it was not run. */
        void onRefused(WaitingCall call, ResultCode code, long retryAfterMillis);
    }

    private static final long EXPIRED_RETRY_MILLIS = 200;

    private final LongSupplier mNanoClock;
    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mIdle = mLock.newCondition();
    private final CallQueue mQueue;
    private final Map<String, WaitingCall> mCalls = new HashMap<>();
    private boolean mClosed;

    CallGate(QueueConfig config, OrganisationWeights weights, LongSupplier nanoClock) {
        mQueue = new CallQueue(config, weights);
        mNanoClock = nanoClock;
    }

    // Operations

    /** Takes a call; it starts, now or later, or is refused. */
    void offer(WaitingCall call, Listener listener) {
        Optional<OfferResult.Rejected> rejected;
        mLock.lock();
        try {
            rejected = mClosed ? Optional.of(closedRefusal()) : enqueue(call);
        } finally {
            mLock.unlock();
        }
        if (rejected.isPresent()) {
            listener.onRefused(call, rejected.get().code(), rejected.get().retryAfterMillis());
            return;
        }
        startNext(listener);
    }

    /** Takes a waiting call out of the queue; does nothing if it runs. */
    void remove(WaitingCall call) {
        mLock.lock();
        try {
            if (mQueue.remove(call.id()).isPresent()) {
                forget(call);
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Ends a call that was started and starts the next ones. */
    void finished(WaitingCall call, long attainedNanos, Listener listener) {
        leave(call, attainedNanos);
        startNext(listener);
    }

    /** Refuses the calls whose latest start has passed. */
    void refuseExpired(Listener listener) {
        List<WaitingCall> expired = new ArrayList<>();
        mLock.lock();
        try {
            for (QueuedCall call : mQueue.takeExpired(mNanoClock.getAsLong())) {
                WaitingCall waiting = mCalls.get(call.id());
                forget(waiting);
                expired.add(waiting);
            }
        } finally {
            mLock.unlock();
        }
        for (WaitingCall call : expired) {
            listener.onRefused(call, ResultCode.DEADLINE_EXCEEDED, EXPIRED_RETRY_MILLIS);
        }
    }

    /** Refuses new calls from now on. */
    void close() {
        mLock.lock();
        try {
            mClosed = true;
        } finally {
            mLock.unlock();
        }
    }

    /** Waits until no call runs or waits. */
    void awaitIdle() {
        mLock.lock();
        try {
            while (!mCalls.isEmpty()) {
                mIdle.awaitUninterruptibly();
            }
        } finally {
            mLock.unlock();
        }
    }

    // Accessors

    Load load() {
        mLock.lock();
        try {
            QueueLoad load = mQueue.load();
            return Load.newBuilder()
                    .setRunning(load.running())
                    .setQueued(load.queued())
                    .setQueuedWorkNanos(load.queuedWorkNanos())
                    .build();
        } finally {
            mLock.unlock();
        }
    }

    // Helpers

    private Optional<OfferResult.Rejected> enqueue(WaitingCall call) {
        OfferResult result = mQueue.offer(call.queued(), mNanoClock.getAsLong());
        if (result instanceof OfferResult.Rejected rejected) {
            return Optional.of(rejected);
        }
        mCalls.put(call.id(), call);
        return Optional.empty();
    }

    /** Refused calls are followed in a loop; nested calls would overflow the stack. */
    private void startNext(Listener listener) {
        for (Optional<WaitingCall> next = poll(); next.isPresent(); next = poll()) {
            if (!listener.onStart(next.get())) {
                leave(next.get(), 0);
            }
        }
    }

    private void leave(WaitingCall call, long attainedNanos) {
        mLock.lock();
        try {
            mQueue.finished(call.id(), attainedNanos, mNanoClock.getAsLong());
            forget(call);
        } finally {
            mLock.unlock();
        }
    }

    private Optional<WaitingCall> poll() {
        mLock.lock();
        try {
            return mQueue.poll(mNanoClock.getAsLong()).map(call -> mCalls.get(call.id()));
        } finally {
            mLock.unlock();
        }
    }

    private void forget(WaitingCall call) {
        mCalls.remove(call.id());
        if (mCalls.isEmpty()) {
            mIdle.signalAll();
        }
    }

    private static OfferResult.Rejected closedRefusal() {
        return new OfferResult.Rejected(ResultCode.SHUTTING_DOWN, EXPIRED_RETRY_MILLIS);
    }
}
