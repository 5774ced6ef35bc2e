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

/** A target behind the product's {@link CallQueue}. */
final class PolicyTarget implements Target {

    private final VirtualClock mClock;
    private final Engine mEngine;
    private final CallQueue mQueue;
    private final long mTickNanos;
    private final Map<String, Attempt> mAttempts = new HashMap<>();
    private final Map<Attempt, String> mIds = new HashMap<>();
    private long mSequence;
    private boolean mTicking;
    private int mSuspensions;

    PolicyTarget(
            VirtualClock clock,
            QueueConfig config,
            OrganisationWeights weights,
            long memoryTokens) {
        mClock = clock;
        mEngine = new Engine(clock, memoryTokens, this::freed);
        mQueue = new CallQueue(config, weights);
        mTickNanos = config.levels().firstThresholdNanos() / 2;
    }

    int suspensions() {
        return mSuspensions;
    }

    @Override
    public void submit(Attempt attempt) {
        Call call = attempt.mCall;
        String id = call.id() + "/" + mSequence++;
        QueuedCall queued =
                new QueuedCall(
                        id,
                        call.program().organisation(),
                        call.program().id(),
                        0,
                        call.attainedNanos(),
                        attempt.mResumable,
                        call.latestStartNanos());
        switch (mQueue.offer(queued, mClock.now())) {
            case OfferResult.Accepted() -> {
                mAttempts.put(id, attempt);
                mIds.put(attempt, id);
                pump();
            }
            case OfferResult.Rejected(_, _) ->
                    mClock.after(0, () -> attempt.mListener.ended(Attempt.Outcome.NOT_RUN, 0));
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        String id = mIds.remove(attempt);
        if (id == null) {
            return;
        }
        mAttempts.remove(id);
        if (mQueue.remove(id).isEmpty()) {
            long ranNanos = mClock.now() - attempt.mStartedNanos;
            mEngine.stop(attempt);
            mQueue.finish(id, ranNanos, mClock.now());
        }
        pump();
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

    private void freed(Attempt attempt) {
        String id = mIds.remove(attempt);
        mAttempts.remove(id);
        mQueue.finish(id, mClock.now() - attempt.mStartedNanos, mClock.now());
        pump();
    }

    private void pump() {
        for (QueuedCall expired : mQueue.takeExpired(mClock.now())) {
            Attempt attempt = mAttempts.remove(expired.id());
            mIds.remove(attempt);
            mClock.after(0, () -> attempt.mListener.ended(Attempt.Outcome.NOT_RUN, 0));
        }
        Optional<QueuedCall> suspended = mQueue.suspend(mClock.now());
        while (suspended.isPresent()) {
            mEngine.stop(mAttempts.get(suspended.get().id()));
            mSuspensions++;
            startNext();
            suspended = mQueue.suspend(mClock.now());
        }
        boolean started = true;
        while (started) {
            started = startNext();
        }
        if (!mTicking && mQueue.waiting() > 0) {
            mTicking = true;
            mClock.after(mTickNanos, this::tick);
        }
    }

    private void tick() {
        mTicking = false;
        pump();
    }

    private boolean startNext() {
        Optional<QueuedCall> next = mQueue.poll(mClock.now());
        next.ifPresent(call -> mEngine.start(mAttempts.get(call.id())));
        return next.isPresent();
    }
}
