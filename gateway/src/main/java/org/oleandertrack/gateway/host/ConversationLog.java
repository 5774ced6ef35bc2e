package org.oleandertrack.gateway.host;

import org.oleandertrack.coordination.conversation.ConversationListener;
import org.oleandertrack.telemetry.logging.EventLog;

/** Logs what happens to kept turns outside of a call. Thread-safe. */
final class ConversationLog implements ConversationListener {

    private final EventLog mLog;

    ConversationLog(EventLog log) {
        mLog = log;
    }

    @Override
    public void onUnreadable(String turnId, String reason) {
        mLog.warn("turn unreadable").text("turn", turnId).text("reason", reason).write();
    }

    @Override
    public void onRemoved(String part, int turns) {
        mLog.info("expired turns removed").text("part", part).number("turns", turns).write();
    }

    @Override
    public void onRemovalFailed(String part, String reason) {
        mLog.info("removal of expired turns failed")
                .text("part", part)
                .text("reason", reason)
                .write();
    }
}
