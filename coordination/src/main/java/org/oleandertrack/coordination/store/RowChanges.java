package org.oleandertrack.coordination.store;

import java.util.List;

/** Answer to a wait for changes. */
public sealed interface RowChanges {

    /**
     * The changes after the version given in the request, in order; empty if the wait timed out.
     *
     * @param storeVersion version after which the next wait continues
     */
    record Changed(List<RowChange> changes, long storeVersion) implements RowChanges {}

    /** The store no longer has all changes since the version given in the request. */
    record HistoryLost() implements RowChanges {}
}
