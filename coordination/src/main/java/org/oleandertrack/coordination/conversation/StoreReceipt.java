package org.oleandertrack.coordination.conversation;

/**
 * Proof that the store has confirmed a turn. Only the code that receives the store's answers makes
 * one, so a response that requires it cannot end on the strength of the memory of hosts.
 */
public final class StoreReceipt {

    /** The host to which the store has confirmed the turn. */
    public enum Writer {
        THIS_HOST,
        PEER
    }

    private final String mTurnId;
    private final Writer mWriter;

    StoreReceipt(String turnId, Writer writer) {
        mTurnId = turnId;
        mWriter = writer;
    }

    // Accessors

    public String turnId() {
        return mTurnId;
    }

    public Writer writer() {
        return mWriter;
    }
}
