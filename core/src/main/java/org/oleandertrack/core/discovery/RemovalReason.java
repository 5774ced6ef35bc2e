package org.oleandertrack.core.discovery;

import java.util.Locale;

/** Why a target gets no more work. */
public enum RemovalReason {
    /** Its entry in the store states that it drains. */
    DRAINING(true),
    /** One of its responses states that it leaves. */
    LEAVING(true),
    /** Another incarnation has taken its place. */
    RESTARTED(false),
    /** Its entry was removed from the store. */
    REMOVED(false),
    /** Its entry expired during an outage of the store and was not renewed afterwards. */
    EXPIRED(false);

    private final boolean mAnnounced;

    RemovalReason(boolean announced) {
        mAnnounced = announced;
    }

    /** Returns whether the target has announced it, and serves what it has for a while. */
    public boolean isAnnounced() {
        return mAnnounced;
    }

    /** Returns the reason as it is logged. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
