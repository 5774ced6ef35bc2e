package org.oleandertrack.coordination.conversation;

/** What {@link ConversationService#keep} achieved. */
public enum KeepOutcome {
    /** The store has the turn. */
    STORED,
    /** The store is away; this host and its peers hold the turn and write it when it is back. */
    HELD,
    /** Neither the store nor a peer has the turn. */
    NOT_KEPT
}
