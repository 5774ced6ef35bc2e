package org.oleandertrack.core.ledger;

/** Why an owner's engine memory is freed. */
public enum ReleaseReason {
    /** The program's last call ended. */
    ENDED("the program ended"),
    /** A holder of the program ordered it. */
    ORDERED("ordered by the program's holder"),
    /** The owner had no call for its idle time. */
    IDLE("idle time expired"),
    /** The owner holds more than its share of the cache. */
    SHARE("the owner exceeds its share of the cache"),
    /** The ledger has more owners than its bound, and this one is unused for longest. */
    OWNER_LIMIT("the ledger has too many owners"),
    /** The engine reported memory of an owner that had ended. */
    STORED_AFTER_END("stored after the program ended"),
    /** Cache events were lost, so an earlier release may not be the last word. */
    EVENT_GAP("cache events were lost");

    private final String mText;

    ReleaseReason(String text) {
        mText = text;
    }

    /** Returns the text for the log. */
    public String text() {
        return mText;
    }
}
