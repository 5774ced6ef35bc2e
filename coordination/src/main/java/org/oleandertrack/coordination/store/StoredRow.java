package org.oleandertrack.coordination.store;

/**
 * A row as a {@link RowStore} returned it.
 *
 * @param id identifies the row
 * @param value stored text
 * @param version version of the row, which rises with each transaction that changes the row
 */
public record StoredRow(RowId id, String value, long version) {}
