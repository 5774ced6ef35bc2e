package org.oleandertrack.coordination.store;

import java.util.List;

/** Answer to a wait for changes. */
public sealed interface RowChanges {

    /**
     * The changes after the version asked for, in order; empty if the wait ended without one.
     *
     * @param storeVersion version after which the next wait continues
     */
    record Changed(List<RowChange> changes, long storeVersion) implements RowChanges {}

    /** The store no longer knows the changes since the version asked for. */
    record HistoryLost() implements RowChanges {}
}
