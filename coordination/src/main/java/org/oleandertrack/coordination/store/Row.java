package org.oleandertrack.coordination.store;

/**
 * A row of the table service.
 *
 * @param key unique key
 * @param version rises with each write of the row, from 1
 * @param value the stored text, JSON by convention
 */
public record Row(String key, long version, String value) {}
