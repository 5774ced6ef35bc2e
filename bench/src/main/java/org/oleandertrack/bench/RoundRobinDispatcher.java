package org.oleandertrack.bench;

import java.util.List;
import java.util.function.Consumer;
import org.oleandertrack.core.queue.AttainedService;

/**
 * Baseline: targets in turn. A failed attempt is sent again at once to the next target, up to a
 * number of attempts.
 */
final class RoundRobinDispatcher implements Dispatcher {

    private final VirtualClock mClock;
    private final List<Target> mTargets;
    private final AttainedService mAttained;
    private final int mMaxAttempts;
    private int mNext;
    private long mAttempts;

    RoundRobinDispatcher(
            VirtualClock clock, List<Target> targets, AttainedService attained, int maxAttempts) {
        mClock = clock;
        mTargets = targets;
        mAttained = attained;
        mMaxAttempts = maxAttempts;
    }

    long attempts() {
        return mAttempts;
    }

    @Override
    public void dispatch(Call call, Consumer<Attempt.Outcome> done) {
        send(call, 1, done);
    }

    private void send(Call call, int number, Consumer<Attempt.Outcome> done) {
        mAttempts++;
        Target target = mTargets.get(mNext++ % mTargets.size());
        Attempt.Listener listener =
                (outcome, nanos) -> {
                    mAttained.add(call.program().id(), nanos, mClock.now());
                    if (outcome == Attempt.Outcome.FAILED && number < mMaxAttempts) {
                        send(call, number + 1, done);
                    } else {
                        done.accept(outcome);
                    }
                };
        target.submit(new Attempt(call, false, listener));
    }
}
