package org.oleandertrack.bench;

import java.util.List;
import java.util.function.Consumer;
import org.oleandertrack.core.queue.AttainedService;

/**
 * Baseline dispatcher: sends attempts to the targets in rotation. A failed call is retried without
 * delay at the next target, up to a maximum number of attempts per call.
 */
final class RoundRobinDispatcher implements Dispatcher {

    private final VirtualClock mClock;
    private final List<Target> mTargets;
    private final AttainedService mAttainedService;
    private final int mMaxAttempts;
    private int mNextTarget;
    private long mAttempts;

    RoundRobinDispatcher(
            VirtualClock clock,
            List<Target> targets,
            AttainedService attainedService,
            int maxAttempts) {
        mClock = clock;
        mTargets = targets;
        mAttainedService = attainedService;
        mMaxAttempts = maxAttempts;
    }

    long attempts() {
        return mAttempts;
    }

    @Override
    public void dispatch(Call call, Consumer<Attempt.Outcome> done) {
        send(call, 1, done);
    }

    private void send(Call call, int attemptNumber, Consumer<Attempt.Outcome> done) {
        mAttempts++;
        Target target = mTargets.get(mNextTarget++ % mTargets.size());
        Attempt.Listener listener =
                (outcome, serviceNanos) -> {
                    mAttainedService.add(call.program().id(), serviceNanos, mClock.nowNanos());
                    if (outcome == Attempt.Outcome.FAILED && attemptNumber < mMaxAttempts) {
                        send(call, attemptNumber + 1, done);
                    } else {
                        done.accept(outcome);
                    }
                };
        target.submit(new Attempt(call, false, listener));
    }
}
