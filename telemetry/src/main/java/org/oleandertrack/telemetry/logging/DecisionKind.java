package org.oleandertrack.telemetry.logging;

/** Kind of a {@link Decision}. */
public enum DecisionKind {
    /** Which entry host handles a call. */
    ROUTING("routing"),
    /** Which target runs a call. */
    PLACEMENT("placement"),
    /** Which target runs the next attempt of a failed call. */
    RETRY("retry"),
    /** Which target runs a second attempt of a call that is late. */
    HEDGE("hedge"),
    /** Whether a call or program is refused. */
    REFUSAL("refusal");

    private final String mText;

    DecisionKind(String text) {
        mText = text;
    }

    /** Returns the message of the log line. */
    public String text() {
        return mText;
    }
}
