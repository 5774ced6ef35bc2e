package org.oleandertrack.coordination.store;

import java.util.List;

/**
 * Rows of one moment in ascending order of their keys.
 *
 * @param rows the rows
 * @param hasMore whether further rows follow
 * @param storeVersion newest version of the store at that moment
 */
public record RowPage(List<StoredRow> rows, boolean hasMore, long storeVersion) {}
