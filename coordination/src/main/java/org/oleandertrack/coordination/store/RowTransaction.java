package org.oleandertrack.coordination.store;

import java.util.List;

/**
 * Changes that are applied all or not at all. All rows are of one part.
 *
 * @param conditions versions that rows must have
 * @param writes rows to create or replace
 * @param removals rows to remove
 */
public record RowTransaction(List<Condition> conditions, List<Write> writes, List<RowId> removals) {

    /**
     * A row's expected version.
     *
     * @param version the version; 0 if the row must be absent
     */
    public record Condition(RowId id, long version) {}

    /** A row's new value. */
    public record Write(RowId id, String value) {}

    /** Returns a transaction that replaces one row of the given version; 0 creates it. */
    public static RowTransaction replace(RowId id, long expectedVersion, String value) {
        return new RowTransaction(
                List.of(new Condition(id, expectedVersion)),
                List.of(new Write(id, value)),
                List.of());
    }
}
