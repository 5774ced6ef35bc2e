package org.oleandertrack.gateway.host;

import java.util.List;
import java.util.Optional;
import org.oleandertrack.coordination.feed.TableListener;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.gateway.call.CallHandler;
import org.oleandertrack.gateway.targets.TargetRegistry;
import org.oleandertrack.telemetry.logging.EventLog;

/** Activates each configuration that the store publishes, unless a newer one is active. */
final class ConfigFeed implements TableListener {

    private final PlatformTables mTables;
    private final CallHandler mCallHandler;
    private final TargetRegistry mTargets;
    private final EventLog mLog;
    private final StoreOutageLog mOutageLog;

    ConfigFeed(
            PlatformTables tables, CallHandler callHandler, TargetRegistry targets, EventLog log) {
        mTables = tables;
        mCallHandler = callHandler;
        mTargets = targets;
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
    public void onStoreLost(String reason) {
        mOutageLog.logLost(reason);
    }

    @Override
    public void onStoreRegained(long outageMillis) {
        mOutageLog.logRegained(outageMillis);
    }

    private void apply(StoredRow row) {
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
        config.ifPresent(this::configure);
    }

    private void configure(TrafficConfig config) {
        boolean activated = mCallHandler.configure(config);
        if (activated) {
            mTargets.configure(config);
        }
        mLog.notice(activated ? "configuration in force" : "configuration is not newer")
                .number("configVersion", config.version())
                .number("routes", config.routes().size())
                .write();
    }
}
