package org.oleandertrack.command;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Selects the rows of a query object whose columns have the given values. Immutable.
 *
 * @param object the rows to query
 * @param conditions required value by column; a row must match all of them
 */
public record Query(QueryObject object, SortedMap<String, String> conditions) implements Statement {

    /** Creates a query, or fails if a condition names something that is no column of the object. */
    public Query {
        conditions = Collections.unmodifiableSortedMap(new TreeMap<>(conditions));
        if (!object.columns().containsAll(conditions.keySet())) {
            throw new IllegalArgumentException(
                    object.text() + " lacks one of the columns " + conditions.keySet());
        }
    }

    /**
     * Returns whether a row matches all conditions.
     *
     * @param row value by column
     */
    public boolean matches(Map<String, String> row) {
        return conditions.entrySet().stream()
                .allMatch(condition -> condition.getValue().equals(row.get(condition.getKey())));
    }
}
