package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oleandertrack.coordination.schedule.Scheduler;

/** A clock that the test moves, with the tasks scheduled on it. Used by one thread. */
final class ManualTime implements Scheduler {

    private record Task(long atNanos, long sequence, Runnable action) {}

    private final List<Task> mTasks = new ArrayList<>();
    private long mSequence;
    private long mNowNanos;

    long nanos() {
        return mNowNanos;
    }

    @Override
    public Timer schedule(long delayNanos, Runnable action) {
        Task task = new Task(mNowNanos + Math.max(0, delayNanos), ++mSequence, action);
        mTasks.add(task);
        return () -> mTasks.removeIf(other -> other.sequence() == task.sequence());
    }

    /** Runs the tasks that become due within a time. */
    void runMillis(long millis) {
        long endNanos = mNowNanos + millis * 1_000_000;
        while (true) {
            Task next = mTasks.stream().min(Comparator.comparingLong(Task::atNanos)).orElse(null);
            if (next == null || next.atNanos() > endNanos) {
                break;
            }
            mTasks.removeIf(other -> other.sequence() == next.sequence());
            mNowNanos = Math.max(mNowNanos, next.atNanos());
            next.action().run();
        }
        mNowNanos = endNanos;
    }
}
