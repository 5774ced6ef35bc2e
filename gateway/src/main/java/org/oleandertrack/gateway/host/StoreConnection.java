package org.oleandertrack.gateway.host;

import org.oleandertrack.telemetry.logging.EventLog;

/** Logs the loss and the return of the store as one feed sees them. */
final class StoreConnection {

    private final String mTable;
    private final EventLog mLog;

    StoreConnection(String table, EventLog log) {
        mTable = table;
        mLog = log;
    }

    void lost(String reason) {
        mLog.warn("store lost").text("table", mTable).text("reason", reason).write();
    }

    void regained(long outageMillis) {
        mLog.notice("store regained")
                .text("table", mTable)
                .number("outageMs", outageMillis)
                .write();
    }
}
