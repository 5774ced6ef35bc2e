package org.oleandertrack.core.turn;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Model of an engine that runs a batch in steps on a virtual clock. The prefill of a request delays
 * the step of the whole batch.
 */
final class EngineModel {

    static final int TOKENS_PER_EVENT = 2;

    private static final double NANOS_PER_MILLI = 1e6;

    private final int mSlots;
    private final EngineTimes mTimes;
    private final Events mEvents;
    private final PrefixCacheModel mCache = new PrefixCacheModel(60_000);
    private final Deque<Job> mWaiting = new ArrayDeque<>();
    private final List<Job> mBatch = new ArrayList<>();
    private boolean mStepping;
    private double mSlowness = 1;
    private double mFactor;

    /** A turn at an engine, and what is called on its first event and on its end. */
    static final class Job {
        final TurnRequest mTurn;
        final Runnable mOnFirstEvent;
        final Runnable mOnEnd;
        final List<Double> mGapMillis = new ArrayList<>();
        double mFirstEventNanos;
        private double mLastEventNanos;
        private int mTokens;

        Job(TurnRequest turn, Runnable onFirstEvent, Runnable onEnd) {
            mTurn = turn;
            mOnFirstEvent = onFirstEvent;
            mOnEnd = onEnd;
        }

        OptionalDouble usualGapMillis() {
            List<Double> sorted = mGapMillis.stream().sorted().toList();
            return sorted.isEmpty()
                    ? OptionalDouble.empty()
                    : OptionalDouble.of(sorted.get(sorted.size() / 3));
        }
    }

    /** Schedules actions on the virtual clock. */
    interface Events {
        long nowNanos();

        void schedule(double delayMillis, Runnable action);
    }

    EngineModel(int slots, EngineTimes times, double factor, Events events) {
        mSlots = slots;
        mTimes = times;
        mFactor = factor;
        mEvents = events;
    }

    ReportedLoad load() {
        return new ReportedLoad(mBatch.size(), mWaiting.size(), mSlots, mSlowness);
    }

    void setFactor(double factor) {
        mFactor = factor;
    }

    void setSlowness(double slowness) {
        mSlowness = slowness;
    }

    void submit(Job job) {
        double startMillis = mTimes.startDelayMillis() * mFactor * mSlowness;
        mEvents.schedule(
                startMillis,
                () -> {
                    mWaiting.add(job);
                    if (!mStepping) {
                        step();
                    }
                });
    }

    private void step() {
        double millis = 0;
        while (mBatch.size() < mSlots && !mWaiting.isEmpty()) {
            Job job = mWaiting.poll();
            millis += mTimes.prefillMillis(mCache.missingTokens(job.mTurn));
            mCache.recordPrefill(job.mTurn.parts());
            mBatch.add(job);
        }
        mStepping = !mBatch.isEmpty();
        if (mStepping) {
            millis += mTimes.stepMillis(mBatch.size());
            mEvents.schedule(millis * mFactor * mSlowness, this::endStep);
        }
    }

    private void endStep() {
        for (Job job : List.copyOf(mBatch)) {
            job.mTokens++;
            if (job.mTokens % TOKENS_PER_EVENT == 0) {
                recordEvent(job);
            }
            if (job.mTokens >= job.mTurn.expectedOutputTokens()) {
                mBatch.remove(job);
                job.mOnEnd.run();
            }
        }
        step();
    }

    private void recordEvent(Job job) {
        double nowNanos = mEvents.nowNanos();
        if (job.mTokens == TOKENS_PER_EVENT) {
            job.mFirstEventNanos = nowNanos;
            job.mOnFirstEvent.run();
        } else {
            job.mGapMillis.add((nowNanos - job.mLastEventNanos) / NANOS_PER_MILLI);
        }
        job.mLastEventNanos = nowNanos;
    }
}
