package org.oleandertrack.gateway.host;

import java.util.List;
import java.util.Optional;
import org.oleandertrack.coordination.feed.TableListener;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.gateway.call.CallService;
import org.oleandertrack.gateway.targets.TargetRegistry;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * Puts configurations in force as the store announces them. An older one never replaces a newer.
 */
final class ConfigFeed implements TableListener {

    private final PlatformTables mTables;
    private final CallService mCalls;
    private final TargetRegistry mTargets;
    private final EventLog mLog;
    private final StoreConnection mConnection;

    ConfigFeed(PlatformTables tables, CallService calls, TargetRegistry targets, EventLog log) {
        mTables = tables;
        mCalls = calls;
        mTargets = targets;
        mLog = log;
        mConnection = new StoreConnection(tables.configTable(), log);
    }

    @Override
    public void replaced(List<StoredRow> rows) {
        rows.forEach(this::take);
    }

    @Override
    public void changed(List<RowChange> changes) {
        for (RowChange change : changes) {
            if (change instanceof RowChange.Written written) {
                take(written.row());
            }
        }
    }

    @Override
    public void lost(String reason) {
        mConnection.lost(reason);
    }

    @Override
    public void regained(long outageMillis) {
        mConnection.regained(outageMillis);
    }

    private void take(StoredRow row) {
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
        boolean inForce = mCalls.configure(config);
        if (inForce) {
            mTargets.configure(config);
        }
        mLog.notice(inForce ? "configuration in force" : "configuration is not newer")
                .number("configVersion", config.version())
                .number("routes", config.routes().size())
                .write();
    }
}
