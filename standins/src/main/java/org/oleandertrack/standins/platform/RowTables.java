package org.oleandertrack.standins.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Rows in tables with parts, atomic transactions, and a bounded history of changes. Versions come
 * from one counter that rises with each transaction. Thread-safe.
 */
public final class RowTables {

    /** Names a row. Ordered by table, part and key. */
    public record Id(String table, String part, String key) implements Comparable<Id> {

        @Override
        public int compareTo(Id other) {
            int byTable = table.compareTo(other.table);
            if (byTable != 0) {
                return byTable;
            }
            int byPart = part.compareTo(other.part);
            return byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    /** A row, or the mark of one that was removed, which has no value. */
    public record Row(Id id, Optional<String> value, long version) {}

    /** The version that a row must have; 0 if it must be absent. */
    public record Condition(Id id, long version) {}

    /** A row's new value. */
    public record Write(Id id, String value) {}

    /** Changes that are applied all or not at all. */
    public record Transaction(List<Condition> conditions, List<Write> writes, List<Id> removals) {}

    /**
     * What became of a transaction.
     *
     * @param applied whether the changes were made
     * @param version newest version of the store afterwards
     * @param current present rows among those with a condition, if it was not applied
     */
    public record Outcome(boolean applied, long version, List<Row> current) {}

    /** Rows of one moment and whether more follow. */
    public record Page(List<Row> rows, boolean hasMore, long version) {}

    /** Changes of a table up to a version, each row once. */
    public record Changes(List<Row> rows, long version) {}

    // Far more than a test makes between two reads of the feed.
    private static final int MAX_HISTORY_ROWS = 100_000;

    private final NavigableMap<Id, Row> mRows = new TreeMap<>();
    private final Deque<Row> mHistory = new ArrayDeque<>();
    private long mForgottenUpTo;
    private long mVersion;

    // Operations

    /** Applies a transaction if all its conditions hold. */
    public synchronized Outcome apply(Transaction transaction) {
        boolean holds =
                transaction.conditions().stream()
                        .allMatch(condition -> versionOf(condition.id()) == condition.version());
        if (!holds) {
            List<Row> current =
                    transaction.conditions().stream()
                            .map(condition -> mRows.get(condition.id()))
                            .filter(row -> row != null)
                            .toList();
            return new Outcome(false, mVersion, current);
        }
        mVersion++;
        for (Write write : transaction.writes()) {
            record(new Row(write.id(), Optional.of(write.value()), mVersion));
        }
        for (Id removal : transaction.removals()) {
            if (mRows.containsKey(removal)) {
                record(new Row(removal, Optional.empty(), mVersion));
            }
        }
        notifyAll();
        return new Outcome(true, mVersion, List.of());
    }

    /** Replaces all rows of the empty part of a table. */
    public synchronized void replaceTable(String table, Map<String, String> values) {
        List<Id> removals =
                page(table, "", "", Optional.empty(), Integer.MAX_VALUE).rows().stream()
                        .map(Row::id)
                        .filter(id -> !values.containsKey(id.key()))
                        .toList();
        List<Write> writes =
                values.entrySet().stream()
                        .map(entry -> write(table, entry.getKey(), entry.getValue()))
                        .toList();
        apply(new Transaction(List.of(), writes, removals));
    }

    /** Drops the history, so that who follows the changes must read the tables again. */
    public synchronized void forgetHistory() {
        mHistory.clear();
        mForgottenUpTo = mVersion;
    }

    // Reads

    /** Reads rows of a part with keys from the first to before the second, in key order. */
    public synchronized Page page(
            String table, String part, String from, Optional<String> to, int limit) {
        List<Row> rows = new ArrayList<>();
        for (Row row : mRows.tailMap(new Id(table, part, from), true).values()) {
            boolean inRange =
                    row.id().table().equals(table)
                            && row.id().part().equals(part)
                            && to.map(end -> row.id().key().compareTo(end) < 0).orElse(true);
            if (!inRange) {
                break;
            }
            if (rows.size() == limit) {
                return new Page(rows, true, mVersion);
            }
            rows.add(row);
        }
        return new Page(rows, false, mVersion);
    }

    /** Returns the parts of a table in ascending order. */
    public synchronized List<String> parts(String table, Optional<String> after, int limit) {
        return mRows.keySet().stream()
                .filter(id -> id.table().equals(table))
                .map(Id::part)
                .filter(part -> after.map(last -> part.compareTo(last) > 0).orElse(true))
                .distinct()
                .limit(limit)
                .toList();
    }

    /**
     * Waits for changes of a table.
     *
     * @return the changes; empty if the history since that version is gone
     */
    public synchronized Optional<Changes> awaitChanges(
            String table, long afterVersion, long waitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (afterVersion >= mForgottenUpTo) {
            List<Row> rows = changes(table, afterVersion);
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            if (!rows.isEmpty() || leftMillis <= 0) {
                return Optional.of(new Changes(rows, mVersion));
            }
            wait(leftMillis);
        }
        return Optional.empty();
    }

    // Helpers

    private void record(Row row) {
        if (row.value().isPresent()) {
            mRows.put(row.id(), row);
        } else {
            mRows.remove(row.id());
        }
        mHistory.addLast(row);
        if (mHistory.size() > MAX_HISTORY_ROWS) {
            mForgottenUpTo = mHistory.removeFirst().version();
        }
    }

    private List<Row> changes(String table, long afterVersion) {
        List<Row> latestFirst = new ArrayList<>();
        Set<Id> seen = new HashSet<>();
        for (Row row : mHistory.reversed()) {
            if (row.version() <= afterVersion) {
                break;
            }
            if (row.id().table().equals(table) && seen.add(row.id())) {
                latestFirst.add(row);
            }
        }
        return latestFirst.reversed();
    }

    private long versionOf(Id id) {
        Row row = mRows.get(id);
        return row == null ? 0 : row.version();
    }

    private static Write write(String table, String key, String value) {
        return new Write(new Id(table, "", key), value);
    }
}
