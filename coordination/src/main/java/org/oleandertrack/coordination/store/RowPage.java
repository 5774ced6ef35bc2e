package org.oleandertrack.coordination.store;

import java.util.List;

/**
 * Rows that were read at one moment, in ascending order of their keys.
 *
 * @param rows the rows
 * @param hasMore whether further rows follow
 * @param storeVersion latest version of the store at the moment of the read
 */
public record RowPage(List<StoredRow> rows, boolean hasMore, long storeVersion) {}
