package org.oleandertrack.gateway.call;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import org.oleandertrack.core.health.HedgeDenial;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Metrics of hedged requests. Thread-safe. */
public final class HedgeMetrics {

    private final Counter mHedges;
    private final Counter mDenials;
    private final Gauge mExtraPercent;

    /** Creates the metrics in a registry. */
    public HedgeMetrics(MetricsRegistry registry) {
        mHedges = registry.counter(Metric.HEDGES);
        mDenials = registry.counter(Metric.HEDGES_DENIED);
        mExtraPercent = registry.gauge(Metric.HEDGE_EXTRA_WORK);
    }

    /**
     * Records a second send.
     *
     * @param extraPercent second sends per hundred repeatable requests so far
     */
    void recordSent(double extraPercent) {
        mHedges.labelValues("sent").inc();
        mExtraPercent.set(extraPercent);
    }

    /** Records that the second send was answered first. */
    void recordWon() {
        mHedges.labelValues("won").inc();
    }

    /** Records that one of the two sends was cancelled. */
    void recordCancelled() {
        mHedges.labelValues("cancelled").inc();
    }

    void recordDenied(HedgeDenial denial) {
        mDenials.labelValues(denial.text()).inc();
    }
}
