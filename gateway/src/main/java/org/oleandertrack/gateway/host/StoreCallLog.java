package org.oleandertrack.gateway.host;

import io.prometheus.metrics.core.metrics.Counter;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.oleandertrack.coordination.relay.StoreRefusalListener;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/**
 * Counts the calls that the store failed, and logs their number at most once a second for each
 * cause, because a store over its rate refuses several hundred calls a second. Thread-safe.
 */
final class StoreCallLog implements StoreRefusalListener {

    private static final long LINE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLog mLog;
    private final Counter mFailures;
    private final Line mOverRate = new Line("store over its rate", "over_rate");
    private final Line mRejected = new Line("store rejected a call", "rejected");
    private final Line mUnavailable = new Line("store call failed", "unavailable");

    StoreCallLog(EventLog log, MetricsRegistry metrics) {
        mLog = log;
        mFailures = metrics.counter(Metric.STORE_CALL_FAILURES);
    }

    @Override
    public void onOverRate(String reason) {
        mOverRate.add(reason);
    }

    @Override
    public void onRejected(String reason) {
        mRejected.add(reason);
    }

    @Override
    public void onUnavailable(String reason) {
        mUnavailable.add(reason);
    }

    /** The log line of one cause. */
    private final class Line {
        private final String mEvent;
        private final String mCause;
        private final AtomicLong mCalls = new AtomicLong();
        private final AtomicLong mNextNanos = new AtomicLong(System.nanoTime());

        private Line(String event, String cause) {
            mEvent = event;
            mCause = cause;
        }

        private void add(String reason) {
            mFailures.labelValues(mCause).inc();
            mCalls.incrementAndGet();
            long nowNanos = System.nanoTime();
            long nextNanos = mNextNanos.get();
            if (nowNanos - nextNanos >= 0
                    && mNextNanos.compareAndSet(nextNanos, nowNanos + LINE_INTERVAL_NANOS)) {
                mLog.notice(mEvent)
                        .number("calls", mCalls.getAndSet(0))
                        .text("reason", reason)
                        .write();
            }
        }
    }
}
