package org.oleandertrack.coordination.store;

/**
 * Identifies a row of a {@link RowStore}.
 *
 * @param table name of the table
 * @param part name of the part of the table; one transaction can change only rows of one part
 * @param key key of the row, unique in the part
 */
public record RowId(String table, String part, String key) {}
