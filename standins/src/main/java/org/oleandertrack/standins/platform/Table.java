package org.oleandertrack.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Versioned rows with conditional writes. Thread-safe. */
public final class Table {

    /** A stored row. */
    public record Row(String key, long version, String value) {}

    /** A write with its condition; an absent value deletes the row. */
    public record Write(String key, long expectedVersion, Optional<String> value) {}

    /**
     * The result of one write.
     *
     * @param version the row's version after the request; 0 if the row is absent
     */
    public record Outcome(boolean applied, long version) {}

    private final TreeMap<String, Row> mRows = new TreeMap<>();

    public synchronized Optional<Row> get(String key) {
        return Optional.ofNullable(mRows.get(key));
    }

    /** Returns rows in key order, at most {@code limit}, with keys greater than {@code after}. */
    public synchronized List<Row> scan(String prefix, String after, int limit) {
        List<Row> result = new ArrayList<>();
        boolean afterIsLater = after.compareTo(prefix) >= 0;
        var rows = afterIsLater ? mRows.tailMap(after, false) : mRows.tailMap(prefix, true);
        for (Row row : rows.values()) {
            if (result.size() >= limit || !row.key().startsWith(prefix)) {
                break;
            }
            result.add(row);
        }
        return result;
    }

    /** Applies the writes in their order as one transaction, each under its own condition. */
    public synchronized List<Outcome> write(List<Write> writes) {
        List<Outcome> outcomes = new ArrayList<>(writes.size());
        for (Write write : writes) {
            outcomes.add(apply(write));
        }
        return outcomes;
    }

    private Outcome apply(Write write) {
        Row row = mRows.get(write.key());
        long version = row == null ? 0 : row.version();
        if (version != write.expectedVersion()) {
            return new Outcome(false, version);
        }
        if (write.value().isEmpty()) {
            mRows.remove(write.key());
            return new Outcome(true, 0);
        }
        mRows.put(write.key(), new Row(write.key(), version + 1, write.value().get()));
        return new Outcome(true, version + 1);
    }
}
