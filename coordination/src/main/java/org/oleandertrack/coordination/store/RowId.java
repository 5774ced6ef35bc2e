package org.oleandertrack.coordination.store;

/**
 * Names a row.
 *
 * @param table name of the table
 * @param part part of the table; rows of one part can be changed in one transaction
 * @param key unique in the part
 */
public record RowId(String table, String part, String key) {}
