package org.oleandertrack.telemetry.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.util.EnumMap;
import java.util.Map;

/**
 * The metrics of one process. Repeated requests for a metric return the same object. Thread-safe.
 */
public final class MetricsRegistry {

    // Upper bounds of the histogram buckets: from 50 microseconds, the time limit of a placement
    // decision, in steps of a factor of 2.5 up to about 290 s.
    private static final double SMALLEST_BUCKET_SECONDS = 0.000_05;
    private static final double BUCKET_FACTOR = 2.5;
    private static final int BUCKET_COUNT = 18;
    // Upper bounds of the buckets of ratios: 0.1 is the dead band of learned times.
    private static final double[] RATIO_BUCKETS = {0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 2, 5};

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter mTextWriter = PrometheusTextFormatWriter.create();
    private final Map<Metric, Object> mMetrics = new EnumMap<>(Metric.class);

    // Accessors

    /**
     * Returns the counter of a metric.
     *
     * @throws IllegalArgumentException if the metric is not a counter
     */
    public Counter counter(Metric metric) {
        return get(metric, MetricKind.COUNTER, Counter.class);
    }

    /**
     * Returns the gauge of a metric.
     *
     * @throws IllegalArgumentException if the metric is not a gauge
     */
    public Gauge gauge(Metric metric) {
        return get(metric, MetricKind.GAUGE, Gauge.class);
    }

    /**
     * Returns the histogram of a metric, in seconds or as a ratio.
     *
     * @throws IllegalArgumentException if the metric is not a histogram
     */
    public Histogram histogram(Metric metric) {
        MetricKind kind =
                metric.kind() == MetricKind.RATIO_HISTOGRAM
                        ? MetricKind.RATIO_HISTOGRAM
                        : MetricKind.HISTOGRAM;
        return get(metric, kind, Histogram.class);
    }

    /** Returns the MIME type of the output of {@link #writeText}. */
    public String textContentType() {
        return mTextWriter.getContentType();
    }

    // Operations

    /** Writes the current values in the Prometheus text format. Does not close the stream. */
    public void writeText(OutputStream output) throws IOException {
        mTextWriter.write(output, mRegistry.scrape());
    }

    // Helpers

    private synchronized <T> T get(Metric metric, MetricKind kind, Class<T> type) {
        if (metric.kind() != kind) {
            throw new IllegalArgumentException(metric + " is not a " + kind);
        }
        return type.cast(mMetrics.computeIfAbsent(metric, this::register));
    }

    private Object register(Metric metric) {
        String[] labels = metric.labels().toArray(String[]::new);
        return switch (metric.kind()) {
            case COUNTER ->
                    Counter.builder()
                            .name(metric.metricName())
                            .help(metric.summary())
                            .labelNames(labels)
                            .register(mRegistry);
            case GAUGE ->
                    Gauge.builder()
                            .name(metric.metricName())
                            .help(metric.summary())
                            .labelNames(labels)
                            .register(mRegistry);
            case HISTOGRAM ->
                    Histogram.builder()
                            .name(metric.metricName())
                            .help(metric.summary())
                            .labelNames(labels)
                            .classicOnly()
                            .classicExponentialUpperBounds(
                                    SMALLEST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT)
                            .register(mRegistry);
            case RATIO_HISTOGRAM ->
                    Histogram.builder()
                            .name(metric.metricName())
                            .help(metric.summary())
                            .labelNames(labels)
                            .classicOnly()
                            .classicUpperBounds(RATIO_BUCKETS)
                            .register(mRegistry);
        };
    }
}
