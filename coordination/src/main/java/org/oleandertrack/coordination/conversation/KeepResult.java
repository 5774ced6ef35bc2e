package org.oleandertrack.coordination.conversation;

/** What {@link ConversationService#keep} achieved. */
public sealed interface KeepResult {

    /** The store has the turn, so its response may end. */
    record Kept(StoreReceipt receipt) implements KeepResult {}

    /** The store has not confirmed the turn, so its response must not end whole. */
    record NotKept(String reason) implements KeepResult {}
}
