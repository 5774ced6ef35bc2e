package org.oleandertrack.telemetry.logging;

/** What a decision was about. */
public enum DecisionKind {
    /** Which entry host handles a call. */
    ROUTING("routing"),
    /** Which target runs a call. */
    PLACEMENT("placement"),
    /** Which target runs a call again. */
    RETRY("retry"),
    /** Which further target runs a call that is late. */
    HEDGE("hedge"),
    /** A call or program is refused. */
    REFUSAL("refusal");

    private final String mText;

    DecisionKind(String text) {
        mText = text;
    }

    /** Returns the text of the log line's message. */
    public String text() {
        return mText;
    }
}
