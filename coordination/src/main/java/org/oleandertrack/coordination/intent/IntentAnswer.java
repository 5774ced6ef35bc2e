package org.oleandertrack.coordination.intent;

/** A recorded answer: bytes in a format that the caller defines. Immutable. */
public final class IntentAnswer {

    private final byte[] mData;

    /** Creates an answer with a copy of the bytes. */
    public IntentAnswer(byte[] data) {
        mData = data.clone();
    }

    /** Returns a copy of the bytes. */
    public byte[] data() {
        return mData.clone();
    }
}
