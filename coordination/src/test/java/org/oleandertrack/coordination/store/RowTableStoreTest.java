package org.oleandertrack.coordination.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.spending.FakeRowStore;
import org.oleandertrack.core.result.Execution;

final class RowTableStoreTest {

    private final FakeRowStore mRows = new FakeRowStore();
    private final RowTableStore mTable = new RowTableStore(mRows, "state");

    /** Guards against a failed condition that also fails the other writes of the request. */
    @Test
    void eachWriteHasItsOwnCondition() {
        long version = applied(write(ConditionalWrite.create("a", "1")).getFirst());

        List<WriteOutcome> outcomes =
                write(
                        ConditionalWrite.replace("a", version + 7, "2"),
                        ConditionalWrite.create("b", "3"),
                        ConditionalWrite.replace("c", 1, "4"));

        assertEquals(new WriteOutcome.Conflict(version), outcomes.get(0));
        assertInstanceOf(WriteOutcome.Applied.class, outcomes.get(1));
        assertEquals(new WriteOutcome.Conflict(0), outcomes.get(2));
        assertEquals("1", mTable.get("a").join().orElseThrow().value());
        assertEquals("3", mTable.get("b").join().orElseThrow().value());
        assertEquals(Optional.empty(), mTable.get("c").join());
    }

    /** Guards against two writers that both succeed on the same version. */
    @Test
    void secondWriteOnTheSameVersionConflicts() {
        long first = applied(write(ConditionalWrite.create("a", "1")).getFirst());
        long second = applied(write(ConditionalWrite.replace("a", first, "2")).getFirst());

        assertEquals(
                List.of(new WriteOutcome.Conflict(second)),
                write(ConditionalWrite.replace("a", first, "3")));
    }

    /** Guards against a deletion that ignores its condition or leaves the row behind. */
    @Test
    void deletionIsConditional() {
        long version = applied(write(ConditionalWrite.create("a", "1")).getFirst());

        assertEquals(
                List.of(new WriteOutcome.Conflict(version)),
                write(ConditionalWrite.delete("a", version + 4)));
        assertEquals(
                List.of(new WriteOutcome.Applied(0)), write(ConditionalWrite.delete("a", version)));
        assertEquals(Optional.empty(), mTable.get("a").join());
    }

    /**
     * Guards against a scan that returns the key after which it starts, or keys of other prefixes.
     */
    @Test
    void scanContinuesAfterAKeyWithinThePrefix() {
        for (String key : List.of("a", "p/1", "p/2", "p/3", "q")) {
            write(ConditionalWrite.create(key, ""));
        }

        assertEquals(List.of("p/1", "p/2"), keys("p/", "", 2));
        assertEquals(List.of("p/3"), keys("p/", "p/2", 2));
        assertEquals(List.of("p/1"), keys("p/", "a", 1));
        assertEquals(List.of(), keys("p/", "p/3", 2));
        assertEquals(List.of(), keys("p/", "z", 2));
    }

    /** Guards against rows that are missing when a scan needs several reads. */
    @Test
    void scanOfManyRowsReadsOn() {
        List<ConditionalWrite> writes = new ArrayList<>();
        for (int i = 0; i < 1_250; i++) {
            writes.add(ConditionalWrite.create("p/%05d".formatted(i), "v"));
        }
        assertEquals(1_250, mTable.write(writes).join().size());

        assertEquals(1_250, keys("p/", "", 10_000).size());
        assertEquals(1_250, keys("p/", "", 10_000).stream().distinct().count());
        assertEquals(700, keys("p/", "", 700).size());
    }

    /** Guards against a transaction with more writes than the platform accepts. */
    @Test
    void manyWritesAreSentInSeveralTransactions() {
        List<ConditionalWrite> writes = new ArrayList<>();
        for (int i = 0; i < 101; i++) {
            writes.add(ConditionalWrite.create("k" + i, "v"));
        }
        mTable.write(writes).join();
        assertEquals(3, mRows.transactions());
    }

    /** Guards against a transaction whose size is counted in characters instead of bytes. */
    @Test
    void largeWritesAreSentInSeveralTransactions() {
        List<ConditionalWrite> writes = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            writes.add(ConditionalWrite.create("k" + i, "\u982d".repeat(20_000)));
        }
        mTable.write(writes).join();
        assertEquals(20, mRows.rows("state").size());
    }

    /** Guards against NOT_RUN when an earlier transaction of the same request was applied. */
    @Test
    void failureAfterAnAppliedPartIsUnknown() {
        List<ConditionalWrite> writes = new ArrayList<>();
        for (int i = 0; i < 101; i++) {
            writes.add(ConditionalWrite.create("k" + i, "v"));
        }
        mRows.setNextFates(FakeRowStore.Fate.ANSWERED, FakeRowStore.Fate.REFUSED);
        assertEquals(Execution.UNKNOWN, failure(mTable.write(writes)));
        mRows.setNextFates(FakeRowStore.Fate.REFUSED);
        assertEquals(
                Execution.NOT_RUN,
                failure(mTable.write(List.of(ConditionalWrite.create("x", "v")))));
    }

    private List<WriteOutcome> write(ConditionalWrite... writes) {
        return mTable.write(List.of(writes)).join();
    }

    private static long applied(WriteOutcome outcome) {
        return assertInstanceOf(WriteOutcome.Applied.class, outcome).version();
    }

    private List<String> keys(String prefix, String after, int limit) {
        return mTable.scan(prefix, after, limit).join().stream().map(Row::key).toList();
    }

    private static Execution failure(CompletableFuture<?> future) {
        assertTrue(future.isCompletedExceptionally());
        return StoreFailures.executionOf(future.exceptionNow());
    }
}
