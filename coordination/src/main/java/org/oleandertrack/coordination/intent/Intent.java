package org.oleandertrack.coordination.intent;

/** The confirmed intent of an attempt, which may therefore be dispatched once. */
public final class Intent {

    final String mRowKey;
    final IntentRow mRow;
    final long mVersion;

    Intent(String rowKey, IntentRow row, long version) {
        mRowKey = rowKey;
        mRow = row;
        mVersion = version;
    }

    /** Returns the id of the attempt. */
    public String attemptId() {
        return mRow.attemptId();
    }
}
