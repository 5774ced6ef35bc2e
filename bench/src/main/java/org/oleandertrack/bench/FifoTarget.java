package org.oleandertrack.bench;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.oleandertrack.core.placement.LoadReport;

/** Baseline: first come first served, without any bound. It may drop calls whose callers left. */
final class FifoTarget implements Target {

    private final VirtualClock mClock;
    private final boolean mDropping;
    private final Engine mEngine;
    private final int mSlots;
    private final ArrayDeque<Attempt> mWaiting = new ArrayDeque<>();
    private final Set<Attempt> mRunning = new HashSet<>();

    FifoTarget(VirtualClock clock, int slots, long memoryTokens, boolean dropping) {
        mClock = clock;
        mDropping = dropping;
        mEngine = new Engine(clock, memoryTokens, this::freed);
        mSlots = slots;
    }

    @Override
    public void submit(Attempt attempt) {
        mWaiting.add(attempt);
        pump();
    }

    @Override
    public void cancel(Attempt attempt) {
        if (mRunning.remove(attempt)) {
            mEngine.stop(attempt);
            pump();
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

    private void freed(Attempt attempt) {
        mRunning.remove(attempt);
        pump();
    }

    private void pump() {
        while (mRunning.size() < mSlots && !mWaiting.isEmpty()) {
            Attempt attempt = mWaiting.remove();
            if (mDropping && attempt.mCall.latestStartNanos() < mClock.now()) {
                mClock.after(0, () -> attempt.mListener.ended(Attempt.Outcome.NOT_RUN, 0));
                continue;
            }
            mRunning.add(attempt);
            mEngine.start(attempt);
        }
    }
}
