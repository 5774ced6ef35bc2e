package org.oleandertrack.coordination.store;

/**
 * A row as the store returned it.
 *
 * @param id names the row
 * @param value the stored text
 * @param version rises with each transaction that changes the row
 */
public record StoredRow(RowId id, String value, long version) {}
