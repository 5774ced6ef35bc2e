package org.oleandertrack.coordination.conversation;

/** Receives what happens to kept turns outside of a call. Called on any thread. */
public interface ConversationListener {

    /** The store has received a turn that was held during its outage. */
    void onHandedOver(String turnId);

    /** The rows of a turn cannot be decoded. */
    void onUnreadable(String turnId, String reason);

    /** Expired turns were removed from a part of the store. */
    void onRemoved(String part, int turns);

    /** The removal of expired turns failed; it is tried again later. */
    void onRemovalFailed(String part, String reason);

    /** A held turn has expired before the store could receive it. */
    void onHeldTurnExpired(String turnId);
}
