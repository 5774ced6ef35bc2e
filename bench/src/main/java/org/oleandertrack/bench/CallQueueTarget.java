package org.oleandertrack.bench;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.oleandertrack.core.placement.LoadReport;
import org.oleandertrack.core.queue.CallQueue;
import org.oleandertrack.core.queue.OfferResult;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.queue.QueueConfig;
import org.oleandertrack.core.queue.QueueLoad;
import org.oleandertrack.core.queue.QueuedCall;

/** A target that schedules its attempts with the product's {@link CallQueue}. */
final class CallQueueTarget implements Target {

    private final VirtualClock mClock;
    private final Engine mEngine;
    private final CallQueue mQueue;
    private final long mTickIntervalNanos;
    private final Map<String, Attempt> mAttemptsById = new HashMap<>();
    private final Map<Attempt, String> mIdsByAttempt = new HashMap<>();
    private long mNextSequence;
    private boolean mTickScheduled;
    private int mSuspensions;

    CallQueueTarget(
            VirtualClock clock,
            QueueConfig config,
            OrganisationWeights weights,
            long memoryTokens) {
        mClock = clock;
        mEngine = new Engine(clock, memoryTokens, this::onAttemptEnd);
        mQueue = new CallQueue(config, weights);
        mTickIntervalNanos = config.levels().firstThresholdNanos() / 2;
    }

    int suspensions() {
        return mSuspensions;
    }

    @Override
    public void submit(Attempt attempt) {
        Call call = attempt.mCall;
        String id = call.id() + "/" + mNextSequence++;
        QueuedCall queued =
                new QueuedCall(
                        id,
                        call.program().organisation(),
                        call.program().id(),
                        0,
                        call.attainedServiceNanos(),
                        attempt.mResumable,
                        call.latestStartNanos());
        switch (mQueue.offer(queued, mClock.nowNanos())) {
            case OfferResult.Accepted() -> {
                mAttemptsById.put(id, attempt);
                mIdsByAttempt.put(attempt, id);
                runScheduler();
            }
            case OfferResult.Rejected(_, _) ->
                    mClock.scheduleAfter(
                            0, () -> attempt.mListener.onEnd(Attempt.Outcome.NOT_RUN, 0));
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        String id = mIdsByAttempt.remove(attempt);
        if (id == null) {
            return;
        }
        mAttemptsById.remove(id);
        if (mQueue.remove(id).isEmpty()) {
            long ranNanos = mClock.nowNanos() - attempt.mStartedNanos;
            mEngine.stop(attempt);
            mQueue.finish(id, ranNanos, mClock.nowNanos());
        }
        runScheduler();
    }

    @Override
    public LoadReport load() {
        QueueLoad load = mQueue.load();
        return new LoadReport(load.running(), load.queued(), load.queuedWorkNanos());
    }

    @Override
    public Engine engine() {
        return mEngine;
    }

    private void onAttemptEnd(Attempt attempt) {
        String id = mIdsByAttempt.remove(attempt);
        mAttemptsById.remove(id);
        mQueue.finish(id, mClock.nowNanos() - attempt.mStartedNanos, mClock.nowNanos());
        runScheduler();
    }

    // Drops expired calls, suspends and starts calls as the queue decides, and schedules the next
    // check while calls are waiting.
    private void runScheduler() {
        for (QueuedCall expired : mQueue.takeExpired(mClock.nowNanos())) {
            Attempt attempt = mAttemptsById.remove(expired.id());
            mIdsByAttempt.remove(attempt);
            mClock.scheduleAfter(0, () -> attempt.mListener.onEnd(Attempt.Outcome.NOT_RUN, 0));
        }
        Optional<QueuedCall> suspended = mQueue.suspend(mClock.nowNanos());
        while (suspended.isPresent()) {
            mEngine.stop(mAttemptsById.get(suspended.get().id()));
            mSuspensions++;
            startNextCall();
            suspended = mQueue.suspend(mClock.nowNanos());
        }
        boolean started = true;
        while (started) {
            started = startNextCall();
        }
        if (!mTickScheduled && mQueue.waiting() > 0) {
            mTickScheduled = true;
            mClock.scheduleAfter(mTickIntervalNanos, this::onTick);
        }
    }

    private void onTick() {
        mTickScheduled = false;
        runScheduler();
    }

    private boolean startNextCall() {
        Optional<QueuedCall> next = mQueue.poll(mClock.nowNanos());
        next.ifPresent(call -> mEngine.start(mAttemptsById.get(call.id())));
        return next.isPresent();
    }
}
