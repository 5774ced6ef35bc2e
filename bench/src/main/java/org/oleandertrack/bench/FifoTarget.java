package org.oleandertrack.bench;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.oleandertrack.core.placement.LoadReport;

/**
 * Baseline target: an unbounded first-come-first-served queue, which optionally drops calls whose
 * callers have stopped waiting.
 */
final class FifoTarget implements Target {

    private final VirtualClock mClock;
    private final boolean mDropsExpired;
    private final Engine mEngine;
    private final int mSlots;
    private final ArrayDeque<Attempt> mWaiting = new ArrayDeque<>();
    private final Set<Attempt> mRunning = new HashSet<>();

    FifoTarget(VirtualClock clock, int slots, long memoryTokens, boolean dropsExpired) {
        mClock = clock;
        mDropsExpired = dropsExpired;
        mEngine = new Engine(clock, memoryTokens, this::onAttemptEnd);
        mSlots = slots;
    }

    @Override
    public void submit(Attempt attempt) {
        mWaiting.add(attempt);
        startWaitingAttempts();
    }

    @Override
    public void cancel(Attempt attempt) {
        if (mRunning.remove(attempt)) {
            mEngine.stop(attempt);
            startWaitingAttempts();
        } else {
            mWaiting.remove(attempt);
        }
    }

    @Override
    public LoadReport load() {
        return new LoadReport(mRunning.size(), mWaiting.size(), 0);
    }

    @Override
    public Engine engine() {
        return mEngine;
    }

    private void onAttemptEnd(Attempt attempt) {
        mRunning.remove(attempt);
        startWaitingAttempts();
    }

    private void startWaitingAttempts() {
        while (mRunning.size() < mSlots && !mWaiting.isEmpty()) {
            Attempt attempt = mWaiting.remove();
            if (mDropsExpired && attempt.mCall.latestStartNanos() < mClock.nowNanos()) {
                mClock.scheduleAfter(0, () -> attempt.mListener.onEnd(Attempt.Outcome.NOT_RUN, 0));
                continue;
            }
            mRunning.add(attempt);
            mEngine.start(attempt);
        }
    }
}
