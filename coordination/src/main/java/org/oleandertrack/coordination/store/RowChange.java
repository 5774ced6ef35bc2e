package org.oleandertrack.coordination.store;

/** A change of one row. */
public sealed interface RowChange {

    /** Returns the id of the row that changed. */
    RowId id();

    /** The row was created or replaced. */
    record Written(StoredRow row) implements RowChange {
        @Override
        public RowId id() {
            return row.id();
        }
    }

    /** The row was removed. */
    record Removed(RowId id) implements RowChange {}
}
