package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Guards against an overloaded event loop that no log line shows, and against noise otherwise. */
final class LoopDelayMonitorTest {

    private final ByteArrayOutputStream mLines = new ByteArrayOutputStream();
    private final ArrayDeque<Runnable> mTasks = new ArrayDeque<>();
    private long mNowNanos;
    private long mDueNanos;

    private final Scheduler mScheduler =
            (delayNanos, task) -> {
                mDueNanos = mNowNanos + delayNanos;
                mTasks.add(task);
                return mTasks::clear;
            };

    private final LoopDelayMonitor mMonitor =
            new LoopDelayMonitor(
                    mScheduler,
                    () -> mNowNanos,
                    new EventLog(mLines::writeBytes, Clock.systemUTC(), 10),
                    new MetricsRegistry());

    private String linesAfterDelay(long millis) {
        mNowNanos = mDueNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        mTasks.poll().run();
        return mLines.toString(StandardCharsets.UTF_8);
    }

    @Test
    void onlyLongDelaysAreLogged() {
        mMonitor.start();
        assertEquals("", linesAfterDelay(249));
        String lines = linesAfterDelay(251);
        assertTrue(lines.contains("\"event loop late\",\"delayMs\":251"), lines);
    }

    @Test
    void nothingIsMeasuredAfterTheStop() {
        mMonitor.start();
        mMonitor.stop();
        assertTrue(mTasks.isEmpty());
    }
}
