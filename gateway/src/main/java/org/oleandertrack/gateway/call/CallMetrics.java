package org.oleandertrack.gateway.call;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Metrics of calls: their number, duration and results, and the decisions made. Thread-safe. */
public final class CallMetrics {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Counter mEndedCalls;
    private final Gauge mCallsUnderWay;
    private final Histogram mDuration;
    private final Counter mDecisions;
    private final Histogram mLookupDuration;
    private final Histogram mKeepDuration;
    private final Histogram mPredictionError;

    /** Creates the metrics in a registry. */
    public CallMetrics(MetricsRegistry registry) {
        mEndedCalls = registry.counter(Metric.CALLS);
        mCallsUnderWay = registry.gauge(Metric.CALLS_UNDER_WAY);
        mDuration = registry.histogram(Metric.CALL_DURATION);
        mDecisions = registry.counter(Metric.DECISIONS);
        mLookupDuration = registry.histogram(Metric.TURN_LOOKUP_DURATION);
        mKeepDuration = registry.histogram(Metric.TURN_KEEP_DURATION);
        mPredictionError = registry.histogram(Metric.PREDICTION_ERROR);
    }

    void recordStart() {
        mCallsUnderWay.inc();
    }

    void recordEnd(RequestKind kind, String result, long durationNanos) {
        String label = kind.name().toLowerCase(Locale.ROOT);
        mCallsUnderWay.dec();
        mEndedCalls.labelValues(label, result).inc();
        mDuration.labelValues(label).observe(durationNanos / NANOS_PER_SECOND);
    }

    void recordDecision(String decision, String reason) {
        mDecisions.labelValues(decision, reason).inc();
    }

    void recordLookup(String source, long durationNanos) {
        mLookupDuration.labelValues(source).observe(durationNanos / NANOS_PER_SECOND);
    }

    void recordKept(String outcome, long durationNanos) {
        mKeepDuration.labelValues(outcome).observe(durationNanos / NANOS_PER_SECOND);
    }

    /** Records how far the time of a complete response was from the predicted one. */
    void recordPrediction(RequestKind kind, double predictedMillis, double actualMillis) {
        String direction = actualMillis < predictedMillis ? "earlier" : "later";
        mPredictionError
                .labelValues(kind.name().toLowerCase(Locale.ROOT), direction)
                .observe(Math.abs(actualMillis - predictedMillis) / Math.max(1, predictedMillis));
    }
}
