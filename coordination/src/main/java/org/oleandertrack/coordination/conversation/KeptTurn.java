package org.oleandertrack.coordination.conversation;

/**
 * A complete turn from which a conversation can continue.
 *
 * @param turnId id of the turn
 * @param conversation the conversation up to and including the turn
 * @param retentionMillis time for which the turn is kept, in milliseconds
 */
public record KeptTurn(String turnId, Conversation conversation, long retentionMillis) {}
