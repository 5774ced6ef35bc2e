package org.oleandertrack.gateway.host;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.oleandertrack.coordination.pacing.PacingListener;
import org.oleandertrack.coordination.pacing.PacingRowStore;
import org.oleandertrack.coordination.pacing.StoreLimits;
import org.oleandertrack.coordination.relay.HostRefusalRowStore;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** The direct store of a process, paced if its rates are set, with its log lines and metrics. */
final class StorePacing implements PacingListener {

    private final RowStore mStore;
    private final Optional<PacingRowStore> mPaced;
    private final EventLog mLog;
    private final Gauge mWriteLimit;
    private final Gauge mQueuedWrites;
    private final Counter mPacedWrites;

    /**
     * Creates the pacing of a store.
     *
     * @param limits rates of the store; without them, no call is paced
     * @param peerCount returns the number of known peers
     */
    StorePacing(
            RowStore store,
            Optional<StoreLimits> limits,
            IntSupplier peerCount,
            Scheduler scheduler,
            EventLog log,
            MetricsRegistry metrics) {
        mLog = log;
        mWriteLimit = metrics.gauge(Metric.STORE_WRITE_LIMIT);
        mQueuedWrites = metrics.gauge(Metric.STORE_WRITES_QUEUED);
        mPacedWrites = metrics.counter(Metric.STORE_WRITES_PACED);
        RowStore direct = new HostRefusalRowStore(store, System::nanoTime);
        mPaced =
                limits.map(
                        rates ->
                                new PacingRowStore(
                                        direct,
                                        rates,
                                        () -> 1 + peerCount.getAsInt(),
                                        scheduler,
                                        System::nanoTime,
                                        this));
        mStore = mPaced.<RowStore>map(paced -> paced).orElse(direct);
    }

    // Accessors

    RowStore store() {
        return mStore;
    }

    StoreRate rate() {
        return mPaced.<StoreRate>map(paced -> paced).orElse(StoreRate.NEVER_SHORT);
    }

    // Operations

    /** Updates the metrics. Call regularly. */
    void runMaintenance() {
        mPaced.ifPresent(
                paced -> {
                    paced.runMaintenance();
                    mWriteLimit.set(paced.writesPerSecond());
                    mQueuedWrites.set(paced.queuedCount());
                });
    }

    @Override
    public void onShort(double writesPerSecond) {
        mLog.notice("store rate short").decimal("writesPerSecond", writesPerSecond).write();
    }

    @Override
    public void onSufficient(long shortMillis) {
        mLog.notice("store rate sufficient").number("shortMs", shortMillis).write();
    }

    @Override
    public void onJoined(int writes) {
        mPacedWrites.labelValues("joined").inc(writes);
    }

    @Override
    public void onRefused(String importance, long waitMillis) {
        mPacedWrites.labelValues("refused").inc();
        mLog.info("store write refused")
                .text("importance", importance)
                .number("waitMs", waitMillis)
                .write();
    }
}
