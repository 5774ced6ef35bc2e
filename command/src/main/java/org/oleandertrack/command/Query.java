package org.oleandertrack.command;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Asks for the rows of an object whose fields have the given values. Immutable.
 *
 * @param object what is asked for
 * @param conditions value by field; a row must match all of them
 */
public record Query(QueryObject object, SortedMap<String, String> conditions) implements Statement {

    /** Creates a query, or fails if a field is not a column of the object. */
    public Query {
        conditions = Collections.unmodifiableSortedMap(new TreeMap<>(conditions));
        if (!object.columns().containsAll(conditions.keySet())) {
            throw new IllegalArgumentException(object.text() + " " + conditions.keySet());
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
