package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oleandertrack.coordination.schedule.Scheduler;

/** A scheduler whose clock only the test advances. Used by one thread. */
final class ManualTime implements Scheduler {

    private record Task(long dueNanos, long sequence, Runnable action) {}

    private final List<Task> mTasks = new ArrayList<>();
    private long mSequence;
    private long mNowNanos;

    long nowNanos() {
        return mNowNanos;
    }

    @Override
    public Timer schedule(long delayNanos, Runnable action) {
        Task task = new Task(mNowNanos + Math.max(0, delayNanos), ++mSequence, action);
        mTasks.add(task);
        return () -> mTasks.removeIf(other -> other.sequence() == task.sequence());
    }

    /** Advances the clock and runs the tasks that become due. */
    void advanceMillis(long millis) {
        long endNanos = mNowNanos + millis * 1_000_000;
        while (true) {
            Task next = mTasks.stream().min(Comparator.comparingLong(Task::dueNanos)).orElse(null);
            if (next == null || next.dueNanos() > endNanos) {
                break;
            }
            mTasks.removeIf(other -> other.sequence() == next.sequence());
            mNowNanos = Math.max(mNowNanos, next.dueNanos());
            next.action().run();
        }
        mNowNanos = endNanos;
    }
}
