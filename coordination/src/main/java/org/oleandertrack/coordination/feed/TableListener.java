package org.oleandertrack.coordination.feed;

import java.util.List;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.StoredRow;

/** Receives the rows of a followed table and their changes. Calls do not overlap. */
public interface TableListener {

    /** The whole table was read; the list replaces all rows known before. */
    void onTableRead(List<StoredRow> rows);

    /** Rows changed; the list contains the changes in their order. */
    void onRowsChanged(List<RowChange> changes);

    /**
     * The store answered a call, and what it stated has been passed to the other methods. Changes
     * after the start of the call may be missing from the answer.
     *
     * @param begunNanos start of the call on the monotonic clock, in nanoseconds
     * @param begunWallMillis start of the call on the wall clock, in milliseconds
     */
    default void onConfirmed(long begunNanos, long begunWallMillis) {
        // Most tables are not used differently when their rows are old.
    }

    /** The store stopped answering. */
    void onStoreLost(String reason);

    /** The store answers again after {@link #onStoreLost}. */
    void onStoreRegained(long outageMillis);
}
