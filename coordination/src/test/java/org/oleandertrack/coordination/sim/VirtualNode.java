package org.oleandertrack.coordination.sim;

import java.util.ArrayDeque;
import java.util.Random;
import org.oleandertrack.coordination.schedule.Scheduler;

/**
 * A simulated process on the virtual clock. Its own monotonic clock has an offset and a drift. The
 * process can be killed, or paused while its clock continues to run.
 */
public final class VirtualNode implements Scheduler {

    private final VirtualTime mTime;
    private final Random mRandom;
    private final long mClockOffsetNanos;
    private final double mClockRate;
    private final ArrayDeque<Runnable> mDelayed = new ArrayDeque<>();
    private boolean mPaused;
    private boolean mDead;

    public VirtualNode(VirtualTime time) {
        mTime = time;
        mRandom = new Random(time.random().nextLong());
        mClockOffsetNanos = time.random().nextInt();
        mClockRate = 1 + (time.random().nextDouble() - 0.5) / 1000;
    }

    public Random random() {
        return mRandom;
    }

    public long nanos() {
        return mClockOffsetNanos + (long) (mTime.nowNanos() * mClockRate);
    }

    public boolean isPaused() {
        return mPaused;
    }

    public boolean isDead() {
        return mDead;
    }

    public void pause() {
        mPaused = true;
    }

    /** Ends the pause and runs the tasks that became due in it, in their order. */
    public void resume() {
        mPaused = false;
        var _ = mTime.schedule(0, this::runDelayed);
    }

    public void kill() {
        mDead = true;
        mDelayed.clear();
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        boolean[] cancelled = new boolean[1];
        Timer timer =
                mTime.schedule(
                        delayNanos,
                        () ->
                                arrive(
                                        () -> {
                                            if (!cancelled[0]) {
                                                task.run();
                                            }
                                        }));
        return () -> {
            cancelled[0] = true;
            timer.cancel();
        };
    }

    private void arrive(Runnable task) {
        if (mDead) {
            return;
        }
        if (mPaused || !mDelayed.isEmpty()) {
            mDelayed.add(task);
            return;
        }
        task.run();
    }

    private void runDelayed() {
        while (!mPaused && !mDead && !mDelayed.isEmpty()) {
            mDelayed.poll().run();
        }
    }
}
