package org.oleandertrack.coordination.schedule;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Schedules tasks on an executor, which the owner of the executor shuts down. Thread safe. */
public final class ExecutorScheduler implements Scheduler {

    private final ScheduledExecutorService mExecutor;

    /** Creates a scheduler on an executor. */
    public ExecutorScheduler(ScheduledExecutorService executor) {
        mExecutor = executor;
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        Future<?> future =
                mExecutor.schedule(
                        () -> runLogged(task), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    // Otherwise the exception of a task would only be kept in a future that nobody reads.
    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "scheduled task failed");
        }
    }
}
