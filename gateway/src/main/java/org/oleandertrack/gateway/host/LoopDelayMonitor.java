package org.oleandertrack.gateway.host;

import io.prometheus.metrics.core.metrics.Histogram;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/**
 * Measures how late the event loop runs its tasks. A loop that is late answers all callers late,
 * also those whose time-out has passed, and its own measurements of calls do not show it, because
 * they begin when the loop reads a request.
 */
public final class LoopDelayMonitor {

    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    // Far above one turn of a loop that keeps up, and half of what callers are promised after the
    // time-out of a route.
    private static final long LOGGED_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final EventLog mLog;
    private final Histogram mDelays;
    private Optional<Scheduler.Timer> mTimer = Optional.empty();
    private long mDueNanos;

    /**
     * Creates a monitor that does nothing until it is started.
     *
     * @param scheduler runs tasks on the measured event loop
     */
    public LoopDelayMonitor(
            Scheduler scheduler, LongSupplier nanoClock, EventLog log, MetricsRegistry metrics) {
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mLog = log;
        mDelays = metrics.histogram(Metric.EVENT_LOOP_DELAY);
    }

    /** Starts to measure. */
    public synchronized void start() {
        scheduleNext();
    }

    /** Stops measuring. */
    public synchronized void stop() {
        mTimer.ifPresent(Scheduler.Timer::cancel);
        mTimer = Optional.empty();
    }

    private synchronized void measure() {
        if (mTimer.isEmpty()) {
            return;
        }
        long delayNanos = Math.max(0, mNanoClock.getAsLong() - mDueNanos);
        mDelays.observe(delayNanos / NANOS_PER_SECOND);
        if (delayNanos >= LOGGED_DELAY_NANOS) {
            mLog.notice("event loop late")
                    .number("delayMs", TimeUnit.NANOSECONDS.toMillis(delayNanos))
                    .write();
        }
        scheduleNext();
    }

    private void scheduleNext() {
        mDueNanos = mNanoClock.getAsLong() + INTERVAL_NANOS;
        mTimer = Optional.of(mScheduler.schedule(INTERVAL_NANOS, this::measure));
    }
}
