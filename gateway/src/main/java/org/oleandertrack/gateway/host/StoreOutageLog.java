package org.oleandertrack.gateway.host;

import org.oleandertrack.telemetry.logging.EventLog;

/** Logs the start and the end of store outages, as observed while one table is followed. */
final class StoreOutageLog {

    private final String mTable;
    private final EventLog mLog;

    StoreOutageLog(String table, EventLog log) {
        mTable = table;
        mLog = log;
    }

    void logLost(String reason) {
        mLog.warn("store lost").text("table", mTable).text("reason", reason).write();
    }

    void logRegained(long outageMillis) {
        mLog.notice("store regained")
                .text("table", mTable)
                .number("outageMs", outageMillis)
                .write();
    }
}
