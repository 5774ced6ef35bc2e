package org.oleandertrack.core.ledger;

/** Reasons for freeing the engine memory of an owner. */
public enum ReleaseReason {
    /** The program's last call ended. */
    ENDED("the program ended"),
    /** The holder of the program's shard requested the release. */
    ORDERED("ordered by the program's holder"),
    /** The owner had no call for its idle time. */
    IDLE("idle time expired"),
    /** The owner holds more than its share of the cache. */
    SHARE("the owner exceeds its share of the cache"),
    /** The ledger has more owners than its limit, and this one is the least recently used. */
    OWNER_LIMIT("the ledger has too many owners"),
    /** The engine reported stored tokens of an owner that had ended. */
    STORED_AFTER_END("stored after the program ended"),
    /** Cache events were lost, so the engine may have stored tokens after an earlier release. */
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
