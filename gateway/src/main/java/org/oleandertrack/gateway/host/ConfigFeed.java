package org.oleandertrack.gateway.host;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.coordination.feed.TableListener;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.core.organisation.ConfigFreshness;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.gateway.call.CallHandler;
import org.oleandertrack.gateway.peer.PeerConfiguration;
import org.oleandertrack.gateway.targets.TargetRegistry;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * Activates each configuration that the store publishes or a peer passes on, unless a newer one is
 * active, and records when the store has confirmed the newest one. Thread-safe.
 */
final class ConfigFeed implements TableListener, PeerConfiguration {

    private final PlatformTables mTables;
    private final CallHandler mCallHandler;
    private final TargetRegistry mTargets;
    private final OrganisationLimits mLimits;
    private final ConfigFreshness mFreshness;
    private final EventLog mLog;
    private final StoreOutageLog mOutageLog;
    // Without access keys, because it is kept for peers.
    private volatile Optional<StoredRow> mRow = Optional.empty();

    ConfigFeed(
            PlatformTables tables,
            CallHandler callHandler,
            TargetRegistry targets,
            OrganisationLimits limits,
            ConfigFreshness freshness,
            EventLog log) {
        mTables = tables;
        mCallHandler = callHandler;
        mTargets = targets;
        mLimits = limits;
        mFreshness = freshness;
        mLog = log;
        mOutageLog = new StoreOutageLog(tables.configTable(), log);
    }

    @Override
    public void onTableRead(List<StoredRow> rows) {
        rows.forEach(this::apply);
    }

    @Override
    public void onRowsChanged(List<RowChange> changes) {
        for (RowChange change : changes) {
            if (change instanceof RowChange.Written written) {
                apply(written.row());
            }
        }
    }

    @Override
    public void onConfirmed(long begunNanos, long begunWallMillis) {
        mFreshness.confirm(new ConfigFreshness.Moment(begunNanos, begunWallMillis));
    }

    @Override
    public void onStoreLost(String reason) {
        mOutageLog.logLost(reason);
    }

    @Override
    public void onStoreRegained(long outageMillis) {
        mOutageLog.logRegained(outageMillis);
    }

    @Override
    public OptionalLong version() {
        return mCallHandler
                .config()
                .map(config -> OptionalLong.of(config.version()))
                .orElse(OptionalLong.empty());
    }

    @Override
    public boolean isKeyRequired() {
        return mCallHandler
                .config()
                .map(config -> config.organisations().isKeyRequired())
                .orElse(true);
    }

    @Override
    public Optional<StoredRow> row() {
        return mRow;
    }

    @Override
    public void onPeerRow(StoredRow row) {
        apply(row);
    }

    // Configurations of the store and of peers must not overtake each other.
    private synchronized void apply(StoredRow row) {
        Optional<TrafficConfig> config;
        try {
            config = mTables.readConfig(row);
        } catch (IllegalArgumentException e) {
            mLog.warn("configuration unreadable")
                    .number("rowVersion", row.version())
                    .text("reason", String.valueOf(e.getMessage()))
                    .write();
            return;
        }
        config.ifPresent(value -> configure(value, row));
    }

    private void configure(TrafficConfig config, StoredRow row) {
        boolean activated = mCallHandler.configure(config);
        if (activated) {
            mTargets.configure(config);
            mLimits.configure(config.organisations().organisations(), config.version());
            // Removing keys takes longer than decoding the row, and holds up the event loop.
            boolean hasKeys = config.organisations().isKeyRequired();
            mRow = Optional.of(hasKeys ? mTables.withoutSecrets(row) : row);
            for (String reason : config.organisations().rejectedEntries()) {
                mLog.warn("organisation rejected")
                        .number("configVersion", config.version())
                        .text("reason", reason)
                        .write();
            }
        }
        mLog.notice(activated ? "configuration in force" : "configuration is not newer")
                .number("configVersion", config.version())
                .number("routes", config.routes().size())
                .number("organisations", config.organisations().organisations().size())
                .write();
    }
}
