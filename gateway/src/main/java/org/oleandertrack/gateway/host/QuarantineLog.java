package org.oleandertrack.gateway.host;

import java.util.Set;
import org.oleandertrack.coordination.quarantine.QuarantineListener;
import org.oleandertrack.telemetry.logging.EventLog;

/** Logs the quarantine of requests. Thread-safe. */
final class QuarantineLog implements QuarantineListener {

    private final EventLog mLog;

    QuarantineLog(EventLog log) {
        mLog = log;
    }

    @Override
    public void onQuarantined(String requestKey, Set<String> targetIds) {
        mLog.notice("request quarantined")
                .text("requestKey", requestKey)
                .text("targets", String.join(",", targetIds))
                .write();
    }

    @Override
    public void onReleased(String requestKey) {
        mLog.notice("request released").text("requestKey", requestKey).write();
    }

    @Override
    public void onWriteFailed(String requestKey, String reason) {
        mLog.info("suspect not written")
                .text("requestKey", requestKey)
                .text("reason", reason)
                .write();
    }

    @Override
    public void onUnreadable(String key, String reason) {
        mLog.warn("suspect entry unreadable").text("key", key).text("reason", reason).write();
    }
}
