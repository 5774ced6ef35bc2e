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
 * In-memory tables with atomic conditional transactions and a bounded change history. A table is
 * divided into parts. Each applied transaction increments one counter, whose value becomes the
 * version of the rows that it changes. Thread-safe.
 */
public final class RowTables {

    /** Identifies a row. Ordered by table, part and key. */
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

    /** A row, or the tombstone of a removed row, which has no value. */
    public record Row(Id id, Optional<String> value, long version) {}

    /** The version that a row must have for a transaction to be applied; 0 if it must be absent. */
    public record Condition(Id id, long version) {}

    /** The new value of a row. */
    public record Write(Id id, String value) {}

    /** Writes and removals that are applied atomically if all conditions hold. */
    public record Transaction(List<Condition> conditions, List<Write> writes, List<Id> removals) {}

    /**
     * Result of a transaction.
     *
     * @param applied whether the changes were made
     * @param version latest version of the store after the transaction
     * @param currentRows if the transaction was not applied, the existing rows that its conditions
     *     name
     */
    public record Outcome(boolean applied, long version, List<Row> currentRows) {}

    /**
     * Rows of a part that were read together.
     *
     * @param hasMore whether the range has further rows beyond the limit
     * @param version latest version of the store at the time of the read
     */
    public record Page(List<Row> rows, boolean hasMore, long version) {}

    /** Latest change of each changed row of a table, up to and including a version of the store. */
    public record Changes(List<Row> rows, long version) {}

    // Bounds the memory. A test makes far fewer changes between two reads of the change feed.
    private static final int MAX_HISTORY_ROWS = 100_000;

    private final NavigableMap<Id, Row> mRows = new TreeMap<>();
    private final Deque<Row> mHistory = new ArrayDeque<>();
    private long mTrimmedUpToVersion;
    private long mVersion;

    // Operations

    /** Applies a transaction if all its conditions hold. */
    public synchronized Outcome apply(Transaction transaction) {
        boolean conditionsHold =
                transaction.conditions().stream()
                        .allMatch(condition -> versionOf(condition.id()) == condition.version());
        if (!conditionsHold) {
            List<Row> current =
                    transaction.conditions().stream()
                            .map(condition -> mRows.get(condition.id()))
                            .filter(row -> row != null)
                            .toList();
            return new Outcome(false, mVersion, current);
        }
        mVersion++;
        for (Write write : transaction.writes()) {
            applyChange(new Row(write.id(), Optional.of(write.value()), mVersion));
        }
        for (Id removal : transaction.removals()) {
            if (mRows.containsKey(removal)) {
                applyChange(new Row(removal, Optional.empty(), mVersion));
            }
        }
        notifyAll();
        return new Outcome(true, mVersion, List.of());
    }

    /** Replaces all rows of the part {@code ""} of a table with the given keys and values. */
    public synchronized void replaceTable(String table, Map<String, String> values) {
        List<Id> removals =
                readPage(table, "", "", Optional.empty(), Integer.MAX_VALUE).rows().stream()
                        .map(Row::id)
                        .filter(id -> !values.containsKey(id.key()))
                        .toList();
        List<Write> writes =
                values.entrySet().stream()
                        .map(entry -> write(table, entry.getKey(), entry.getValue()))
                        .toList();
        apply(new Transaction(List.of(), writes, removals));
    }

    /** Clears the change history, so that readers of the feed must read the tables again. */
    public synchronized void clearHistory() {
        mHistory.clear();
        mTrimmedUpToVersion = mVersion;
    }

    // Reads

    /**
     * Reads rows of a part in key order.
     *
     * @param from first key of the range, inclusive
     * @param to end of the range, exclusive; empty for no end
     * @param limit maximum number of rows
     */
    public synchronized Page readPage(
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

    /** Returns the parts of a table after the given one, in ascending order. */
    public synchronized List<String> listParts(String table, Optional<String> after, int limit) {
        return mRows.keySet().stream()
                .filter(id -> id.table().equals(table))
                .map(Id::part)
                .filter(part -> after.map(last -> part.compareTo(last) > 0).orElse(true))
                .distinct()
                .limit(limit)
                .toList();
    }

    /**
     * Waits for changes of a table after a version.
     *
     * @return the changes, with no rows if there were none in time; empty if the history no longer
     *     reaches back to that version
     */
    public synchronized Optional<Changes> awaitChanges(
            String table, long afterVersion, long waitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (afterVersion >= mTrimmedUpToVersion) {
            List<Row> rows = latestChanges(table, afterVersion);
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            if (!rows.isEmpty() || remainingMillis <= 0) {
                return Optional.of(new Changes(rows, mVersion));
            }
            wait(remainingMillis);
        }
        return Optional.empty();
    }

    // Helpers

    private void applyChange(Row row) {
        if (row.value().isPresent()) {
            mRows.put(row.id(), row);
        } else {
            mRows.remove(row.id());
        }
        mHistory.addLast(row);
        if (mHistory.size() > MAX_HISTORY_ROWS) {
            mTrimmedUpToVersion = mHistory.removeFirst().version();
        }
    }

    private List<Row> latestChanges(String table, long afterVersion) {
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
