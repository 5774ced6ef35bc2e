package org.oleandertrack.gateway.host;

import org.oleandertrack.coordination.stream.StreamOrigin;
import org.oleandertrack.coordination.stream.StreamOriginListener;
import org.oleandertrack.telemetry.logging.EventLog;

/** Logs what happens to origins of streams outside of a call. Thread-safe. */
final class StreamOriginLog implements StreamOriginListener {

    private final EventLog mLog;

    StreamOriginLog(EventLog log) {
        mLog = log;
    }

    @Override
    public void onNotStored(int origins, String reason) {
        mLog.info("stream origins not stored")
                .number("origins", origins)
                .text("reason", reason)
                .write();
    }

    @Override
    public void onDropped(int origins) {
        mLog.warn("stream origins dropped")
                .number("origins", origins)
                .text("reason", "too many wait for the store")
                .write();
    }

    @Override
    public void onNotRegistered(StreamOrigin version, String reason) {
        mLog.info("version not registered")
                .text("service", version.service())
                .text("version", version.softwareVersion())
                .text("reason", reason)
                .write();
    }

    @Override
    public void onUnreadable(String key, String reason) {
        mLog.warn("stream origin unreadable").text("key", key).text("reason", reason).write();
    }

    @Override
    public void onRemovalFailed(String part, String reason) {
        mLog.info("removal of stream origins failed")
                .text("part", part)
                .text("reason", reason)
                .write();
    }
}
