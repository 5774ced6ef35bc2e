package org.oleandertrack.core.result;

/** Whether a request was executed at its target. */
public enum Execution {
    /** The target did not execute the request and will not. */
    NOT_RUN("not run"),
    /** The target executed the request. */
    RUN("run"),
    /** The target may have executed the request. */
    UNKNOWN("unknown");

    private final String mText;

    Execution(String text) {
        mText = text;
    }

    /** Returns the text in responses to callers. */
    public String text() {
        return mText;
    }
}
