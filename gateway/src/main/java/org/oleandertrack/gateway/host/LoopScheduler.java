package org.oleandertrack.gateway.host;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.tinylog.Logger;

/** Schedules tasks on a Netty event loop. Thread-safe. */
public final class LoopScheduler implements Scheduler {

    private final EventLoop mLoop;

    /** Creates a scheduler on an event loop. */
    public LoopScheduler(EventLoop loop) {
        mLoop = loop;
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        ScheduledFuture<?> future =
                mLoop.schedule(() -> runLogged(task), delayNanos, TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    // Netty stores the exception of a task in its future, which no code here reads.
    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "scheduled task failed");
        }
    }
}
