package org.oleandertrack.coordination.feed;

import java.util.List;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.StoredRow;

/** Receives the content of a followed table. Calls do not overlap. */
public interface TableListener {

    /** The whole table was read; rows that are not in the list are absent. */
    void replaced(List<StoredRow> rows);

    /** Rows changed, in this order. */
    void changed(List<RowChange> changes);

    /** The store stopped answering. */
    void lost(String reason);

    /** The store answers again. */
    void regained(long outageMillis);
}
