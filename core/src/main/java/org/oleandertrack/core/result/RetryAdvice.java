package org.oleandertrack.core.result;

/** What a caller may do after a refusal. */
public enum RetryAdvice {
    /** The same request fails again. */
    NEVER("never"),
    /** The same request may succeed after the time given with the refusal. */
    LATER("later"),
    /** Only the caller can decide, because the request may have been executed. */
    CALLER_DECIDES("caller decides");

    private final String mText;

    RetryAdvice(String text) {
        mText = text;
    }

    /** Returns the text that callers see. */
    public String text() {
        return mText;
    }
}
