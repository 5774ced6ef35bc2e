package org.oleandertrack.coordination.conversation;

/** Receives what happens to kept turns outside of a call. Called on any thread. */
public interface ConversationListener {

    /** The rows of a turn cannot be decoded. */
    void onUnreadable(String turnId, String reason);

    /** Expired turns were removed from a part of the store. */
    void onRemoved(String part, int turns);

    /** The removal of expired turns failed; it is tried again later. */
    void onRemovalFailed(String part, String reason);
}
