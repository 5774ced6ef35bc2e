package org.oleandertrack.server.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import org.oleandertrack.core.queue.CallQueue;
import org.oleandertrack.core.queue.OfferResult;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;
import org.oleandertrack.core.queue.QueueLoad;
import org.oleandertrack.core.queue.QueuedCall;
import org.oleandertrack.core.rate.RequestPacer;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.message.Load;

/**
 * Queues the calls for the target, limits how many of them run at a time, and keeps to the rate
 * that the target states. Thread safe: one lock guards the queue, and listeners are called without
 * holding it.
 */
final class CallScheduler {

    /** Receives the calls that leave the queue. */
    interface Listener {

        /**
         * Called when a call may run. It occupies one of the target's slots until {@link #finish}
         * is called for it.
         *
         * @return false if the listener refused the call; its slot is then freed, and {@link
         *     #finish} must not be called
         */
        boolean onStart(SidecarCall call);

        /** Called when a call was not accepted or its start deadline has passed. It has not run. */
        void onRefused(SidecarCall call, ResultCode code, long retryAfterMillis);
    }

    /** Suggested wait before a retry of a call that expired or arrived during shutdown. */
    private static final long RETRY_AFTER_MILLIS = 200;

    private final LongSupplier mNanoClock;
    private final ReentrantLock mLock = new ReentrantLock();

    /** Signalled when no call is waiting or running. */
    private final Condition mIdle = mLock.newCondition();

    private final CallQueue mQueue;

    /** The waiting and running calls by their id in the queue. */
    private final Map<String, SidecarCall> mCalls = new HashMap<>();

    /** Spaces the starts of calls while the target limits its rate. */
    private Optional<RequestPacer> mPacer = Optional.empty();

    private boolean mClosed;

    CallScheduler(QueueConfig config, OrganisationWeights weights, LongSupplier nanoClock) {
        mQueue = new CallQueue(config, weights);
        mNanoClock = nanoClock;
    }

    // Operations

    /** Accepts a call, which starts now, starts later or is refused through the listener. */
    void offer(SidecarCall call, Listener listener) {
        Optional<OfferResult.Rejected> rejected;
        mLock.lock();
        try {
            rejected = mClosed ? Optional.of(shutdownRejection()) : enqueue(call);
        } finally {
            mLock.unlock();
        }
        if (rejected.isPresent()) {
            listener.onRefused(call, rejected.get().code(), rejected.get().retryAfterMillis());
            return;
        }
        startNext(listener);
    }

    /** Removes a waiting call from the queue; does nothing if the call is running. */
    void remove(SidecarCall call) {
        mLock.lock();
        try {
            if (mQueue.remove(call.id()).isPresent()) {
                removeCall(call);
            }
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Frees the slot of a call that was started, and starts the next calls.
     *
     * @param runNanos time that the call ran at the target, in nanoseconds
     */
    void finish(SidecarCall call, long runNanos, Listener listener) {
        freeSlot(call, runNanos);
        startNext(listener);
    }

    /**
     * Limits the rate at which calls start.
     *
     * @param requestsPerSecond the limit that the target stated last; empty if it stated none
     */
    void limitRate(OptionalDouble requestsPerSecond) {
        mLock.lock();
        try {
            if (requestsPerSecond.isEmpty()) {
                mPacer = Optional.empty();
                return;
            }
            long nowNanos = mNanoClock.getAsLong();
            double rate = requestsPerSecond.getAsDouble();
            if (mPacer.isEmpty()) {
                mPacer = Optional.of(new RequestPacer(rate, nowNanos, nowNanos));
            }
            mPacer.get().setRate(rate, nowNanos);
        } finally {
            mLock.unlock();
        }
    }

    /** Starts the calls that waited only for the target's rate. To be called regularly. */
    void startPaced(Listener listener) {
        startNext(listener);
    }

    /** Refuses the waiting calls whose start deadline has passed. */
    void refuseExpired(Listener listener) {
        List<SidecarCall> expired = new ArrayList<>();
        mLock.lock();
        try {
            for (QueuedCall call : mQueue.takeExpired(mNanoClock.getAsLong())) {
                SidecarCall expiredCall = mCalls.get(call.id());
                removeCall(expiredCall);
                expired.add(expiredCall);
            }
        } finally {
            mLock.unlock();
        }
        for (SidecarCall call : expired) {
            listener.onRefused(call, ResultCode.DEADLINE_EXCEEDED, RETRY_AFTER_MILLIS);
        }
    }

    /** Refuses new calls from now on; calls that wait or run are not affected. */
    void close() {
        mLock.lock();
        try {
            mClosed = true;
        } finally {
            mLock.unlock();
        }
    }

    /** Blocks until no call is waiting or running. */
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

    private Optional<OfferResult.Rejected> enqueue(SidecarCall call) {
        OfferResult result = mQueue.offer(call.queuedCall(), mNanoClock.getAsLong());
        if (result instanceof OfferResult.Rejected rejected) {
            return Optional.of(rejected);
        }
        mCalls.put(call.id(), call);
        return Optional.empty();
    }

    /**
     * Starts calls until no slot is free or no call waits. When the listener refuses a call, the
     * loop takes the next one; recursion would overflow the stack after many refusals in a row.
     */
    private void startNext(Listener listener) {
        for (Optional<SidecarCall> next = pollQueue(); next.isPresent(); next = pollQueue()) {
            if (!listener.onStart(next.get())) {
                freeSlot(next.get(), 0);
            }
        }
    }

    private void freeSlot(SidecarCall call, long runNanos) {
        mLock.lock();
        try {
            mQueue.finish(call.id(), runNanos, mNanoClock.getAsLong());
            removeCall(call);
        } finally {
            mLock.unlock();
        }
    }

    private Optional<SidecarCall> pollQueue() {
        mLock.lock();
        try {
            long nowNanos = mNanoClock.getAsLong();
            if (mPacer.isPresent() && mPacer.get().waitMillis(nowNanos) > 0) {
                return Optional.empty();
            }
            Optional<SidecarCall> next = mQueue.poll(nowNanos).map(call -> mCalls.get(call.id()));
            if (next.isPresent()) {
                mPacer.ifPresent(pacer -> pacer.take(0, nowNanos));
            }
            return next;
        } finally {
            mLock.unlock();
        }
    }

    private void removeCall(SidecarCall call) {
        mCalls.remove(call.id());
        if (mCalls.isEmpty()) {
            mIdle.signalAll();
        }
    }

    private static OfferResult.Rejected shutdownRejection() {
        return new OfferResult.Rejected(ResultCode.SHUTTING_DOWN, RETRY_AFTER_MILLIS);
    }
}
