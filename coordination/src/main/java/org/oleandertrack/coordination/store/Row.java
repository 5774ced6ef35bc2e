package org.oleandertrack.coordination.store;

/**
 * A row of a {@link TableStore}.
 *
 * @param key unique key
 * @param version version of the row, at least 1, which rises with each write of the row
 * @param value stored text, JSON by convention
 */
public record Row(String key, long version, String value) {}
