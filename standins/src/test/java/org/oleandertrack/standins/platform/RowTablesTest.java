package org.oleandertrack.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RowTablesTest {

    private final RowTables mTables = new RowTables();

    /** Guards against applying part of a transaction although a condition does not hold. */
    @Test
    void transactionWithAFailedConditionChangesNothing() {
        put("a", 0, "1");

        RowTables.Outcome outcome =
                mTables.apply(
                        new RowTables.Transaction(
                                List.of(
                                        new RowTables.Condition(id("a"), 7),
                                        new RowTables.Condition(id("b"), 0)),
                                List.of(
                                        new RowTables.Write(id("a"), "2"),
                                        new RowTables.Write(id("b"), "3")),
                                List.of()));

        assertFalse(outcome.applied());
        assertEquals(
                List.of(new RowTables.Row(id("a"), Optional.of("1"), 1)), outcome.currentRows());
        assertEquals(List.of("a"), keys("", Optional.empty(), 10));
    }

    /** Guards against a lost update: two writes with the same expected version both succeed. */
    @Test
    void secondWriteOnTheSameVersionIsRejected() {
        put("a", 0, "1");

        assertTrue(put("a", 1, "2").applied());
        assertFalse(put("a", 1, "3").applied());
    }

    /** Guards against a row that is written again after a removal with a version it had before. */
    @Test
    void versionsIncreaseAcrossRemovals() {
        put("a", 0, "1");
        RowTables.Outcome removed =
                mTables.apply(
                        new RowTables.Transaction(
                                List.of(new RowTables.Condition(id("a"), 1)),
                                List.of(),
                                List.of(id("a"))));

        assertTrue(removed.applied());
        assertEquals(3, put("a", 0, "2").version());
    }

    /** Guards against a read that exceeds its key range, part or limit. */
    @Test
    void readStaysWithinItsRangePartAndLimit() {
        for (String key : List.of("a", "p/1", "p/2", "p/3", "q")) {
            put(key, 0, "");
        }
        mTables.apply(
                new RowTables.Transaction(
                        List.of(),
                        List.of(new RowTables.Write(new RowTables.Id("t", "other", "p/2"), "")),
                        List.of()));

        assertEquals(List.of("p/1", "p/2"), keys("p/", Optional.empty(), 2));
        assertEquals(List.of("p/2", "p/3"), keys("p/2", Optional.of("q"), 10));
        assertTrue(mTables.readPage("t", "", "p/", Optional.empty(), 2).hasMore());
        assertFalse(mTables.readPage("t", "", "q", Optional.empty(), 1).hasMore());
        assertEquals(List.of("", "other"), mTables.listParts("t", Optional.empty(), 10));
        assertEquals(List.of("other"), mTables.listParts("t", Optional.of(""), 10));
    }

    /** Guards against a reader of the feed that misses a removal or a cleared history. */
    @Test
    void changesIncludeRemovalsAndAreEmptyAfterTheHistoryIsCleared() throws InterruptedException {
        put("a", 0, "1");
        put("b", 0, "1");
        mTables.apply(new RowTables.Transaction(List.of(), List.of(), List.of(id("a"))));

        assertEquals(
                List.of(
                        new RowTables.Row(id("b"), Optional.of("1"), 2),
                        new RowTables.Row(id("a"), Optional.empty(), 3)),
                mTables.awaitChanges("t", 0, 0).orElseThrow().rows());
        mTables.clearHistory();
        assertEquals(Optional.empty(), mTables.awaitChanges("t", 2, 0));
        assertEquals(List.of(), mTables.awaitChanges("t", 3, 0).orElseThrow().rows());
    }

    private RowTables.Outcome put(String key, long expectedVersion, String value) {
        return mTables.apply(
                new RowTables.Transaction(
                        List.of(new RowTables.Condition(id(key), expectedVersion)),
                        List.of(new RowTables.Write(id(key), value)),
                        List.of()));
    }

    private List<String> keys(String from, Optional<String> to, int limit) {
        return mTables.readPage("t", "", from, to, limit).rows().stream()
                .map(row -> row.id().key())
                .toList();
    }

    private static RowTables.Id id(String key) {
        return new RowTables.Id("t", "", key);
    }
}
