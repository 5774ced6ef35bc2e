package org.oleandertrack.coordination.store;

/** Tells whether the store takes fewer writes than the hosts have. Thread-safe. */
@FunctionalInterface
public interface StoreRate {

    /** The rate of a store that is never known to be short. */
    StoreRate NEVER_SHORT = () -> false;

    /**
     * Returns whether the store has refused writes of this host for its rate lately, so that writes
     * are to be saved.
     */
    boolean isShort();

    /** Returns whether writes of this host may now wait for the rate. */
    default boolean delaysWrites() {
        return isShort();
    }
}
