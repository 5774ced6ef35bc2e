package org.oleandertrack.core.result;

/** Whether a caller may retry a refused request. */
public enum RetryAdvice {
    /** The same request will fail again. */
    NEVER("never"),
    /** The same request may succeed after the retry time given in the response. */
    LATER("later"),
    /** Only the caller can decide, because the request may have been executed. */
    CALLER_DECIDES("caller decides");

    private final String mText;

    RetryAdvice(String text) {
        mText = text;
    }

    /** Returns the text in responses to callers. */
    public String text() {
        return mText;
    }
}
