package org.oleandertrack.coordination.store;

import java.util.List;
import java.util.Objects;

/**
 * Changes that are applied together or not at all. All rows belong to one part of a table.
 *
 * @param conditions versions that rows must have for the changes to be applied
 * @param writes rows to create or replace
 * @param removals rows to remove
 */
public record RowTransaction(List<Condition> conditions, List<Write> writes, List<RowId> removals) {

    /** Rejects a message that lacks one of the lists. */
    public RowTransaction {
        Objects.requireNonNull(conditions, "conditions are missing");
        Objects.requireNonNull(writes, "writes are missing");
        Objects.requireNonNull(removals, "removals are missing");
    }

    /**
     * The version that a row must have.
     *
     * @param version expected version; 0 if the row must be absent
     */
    public record Condition(RowId id, long version) {}

    /** The new value of a row. */
    public record Write(RowId id, String value) {}

    /** Returns a transaction that replaces one row of the given version; 0 creates it. */
    public static RowTransaction replace(RowId id, long expectedVersion, String value) {
        return new RowTransaction(
                List.of(new Condition(id, expectedVersion)),
                List.of(new Write(id, value)),
                List.of());
    }
}
