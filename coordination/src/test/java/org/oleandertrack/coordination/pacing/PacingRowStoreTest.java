package org.oleandertrack.coordination.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.spending.FakeRowStore;
import org.oleandertrack.coordination.spending.SpendingService;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.TransactionResult;

/** Guards against hosts that together write more than the store takes, and against lost writes. */
final class PacingRowStoreTest {

    private static final String ORIGINS = "stream-origins";
    private static final StoreLimits LIMITS = new StoreLimits(100, 100);

    private final VirtualTime mTime = new VirtualTime(1);
    private final RatedRowStore mDirect = new RatedRowStore(mTime, 100, 100);
    private final PacingRowStore mStore = store(1);

    private PacingRowStore store(int hosts) {
        PacingListener silent =
                new PacingListener() {
                    @Override
                    public void onShort(double writesPerSecond) {}

                    @Override
                    public void onSufficient(long shortMillis) {}

                    @Override
                    public void onJoined(int writes) {}

                    @Override
                    public void onRefused(String importance, long waitMillis) {}
                };
        return new PacingRowStore(mDirect, LIMITS, () -> hosts, mTime, mTime::nowNanos, silent);
    }

    private static RowTransaction write(String table, int number) {
        return RowTransaction.replace(
                new RowId(table, "p" + number, "k" + number), 0, "v" + number);
    }

    private List<CompletableFuture<TransactionResult>> burst(int writes) {
        List<CompletableFuture<TransactionResult>> results = new ArrayList<>();
        for (int i = 0; i < writes; i++) {
            results.add(mStore.apply(write(SpendingService.TABLE, i)));
        }
        return results;
    }

    private void makeShort() {
        mDirect.setWritesPerSecond(0.001);
        var _ = mStore.apply(write("other", 1_000));
        mTime.runFor(2 * VirtualTime.MILLI);
        assertTrue(mStore.isShort());
    }

    /** Guards against calls that are delayed, repeated or reordered although none is refused. */
    @Test
    void whileNothingIsRefusedEachCallIsPassedOnAtOnce() {
        mTime.runFor(VirtualTime.SECOND);
        List<RowTransaction> expected = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            RowTransaction transaction = write(i % 3 == 0 ? ORIGINS : SpendingService.TABLE, i);
            expected.add(transaction);
            var _ = mStore.apply(transaction);
            assertEquals(expected, mDirect.calls());
            mTime.runFor(10 * VirtualTime.MILLI);
        }
        assertEquals(0, mDirect.refusals());
        assertFalse(mStore.isShort());
    }

    /** Guards against refusals that reach callers which could have waited. */
    @Test
    void aBurstIsSpreadOverTheTimeThatItsCallersCanWait() {
        mTime.runFor(VirtualTime.SECOND);
        List<CompletableFuture<TransactionResult>> results = burst(25);
        mTime.runFor(400 * VirtualTime.MILLI);
        results.forEach(
                result -> assertInstanceOf(TransactionResult.Committed.class, result.getNow(null)));
    }

    /** Guards against callers that wait for a write which cannot be made in time. */
    @Test
    void aWriteThatWouldWaitForTooLongIsRefusedAtOnceWithATime() {
        makeShort();
        List<CompletableFuture<TransactionResult>> results = burst(300);
        CompletableFuture<TransactionResult> last = results.getLast();
        assertTrue(last.isCompletedExceptionally());
        CompletionException failure = assertThrows(CompletionException.class, last::join);
        assertTrue(StoreFailures.isOverRate(failure));
        assertTrue(StoreFailures.asStoreException(failure).retryAfterMillis() >= 200);
    }

    /** Guards against clients that wait behind writes for which nobody waits. */
    @Test
    void moreImportantWritesAreMadeFirst() {
        makeShort();
        for (int i = 0; i < 20; i++) {
            var _ = mStore.apply(write(ORIGINS, i));
        }
        var _ = mStore.apply(write(SpendingService.TABLE, 1));
        int before = mDirect.calls().size();
        mDirect.setWritesPerSecond(1_000);
        mTime.runFor(300 * VirtualTime.MILLI);
        List<String> tables =
                mDirect.calls().subList(before, mDirect.calls().size()).stream()
                        .map(call -> call.writes().getFirst().id().table())
                        .toList();
        assertEquals(1, tables.indexOf(SpendingService.TABLE) + 1, tables.toString());
    }

    /** Guards against a joined transaction that rejects writes which alone would be applied. */
    @Test
    void aRejectedWriteDoesNotRejectThoseThatWereJoinedWithIt() {
        RowId taken = new RowId(SpendingService.TABLE, "p", "taken");
        mTime.runFor(VirtualTime.SECOND);
        var _ = mStore.apply(RowTransaction.replace(taken, 0, "first"));
        mTime.runFor(VirtualTime.SECOND);
        makeShort();
        List<CompletableFuture<TransactionResult>> results = new ArrayList<>();
        for (String key : List.of("a", "taken", "b")) {
            RowId id = new RowId(SpendingService.TABLE, "p", key);
            results.add(mStore.apply(RowTransaction.replace(id, 0, "second")));
        }
        int before = mDirect.calls().size();
        mDirect.setWritesPerSecond(1_000);
        mTime.runFor(300 * VirtualTime.MILLI);
        assertEquals(3, mDirect.calls().get(before).writes().size());
        assertInstanceOf(TransactionResult.Committed.class, results.get(0).join());
        assertInstanceOf(TransactionResult.Committed.class, results.get(2).join());
        TransactionResult.Rejected rejected =
                assertInstanceOf(TransactionResult.Rejected.class, results.get(1).join());
        assertEquals(List.of(taken), rejected.current().stream().map(row -> row.id()).toList());
    }

    /** Guards against repetitions of a write, for lost answers, that each use up the rate. */
    @Test
    void aRepeatedWriteThatStillWaitsIsMadeOnce() {
        makeShort();
        CompletableFuture<TransactionResult> first = mStore.apply(write(ORIGINS, 1));
        CompletableFuture<TransactionResult> second = mStore.apply(write(ORIGINS, 1));
        mDirect.setWritesPerSecond(100);
        mTime.runFor(300 * VirtualTime.MILLI);
        assertEquals(first.join(), second.join());
        assertEquals(1, mDirect.rows().rows(ORIGINS).size());
    }

    /** Guards against a host that stays slow after a burst. */
    @Test
    void callsArePassedOnAtOnceWithinASecondAfterABurst() {
        mTime.runFor(VirtualTime.SECOND);
        var _ = burst(60);
        assertTrue(mDirect.refusals() > 0);
        mTime.runFor(VirtualTime.SECOND);
        assertEquals(0, mStore.writesPerSecond());
        int before = mDirect.calls().size();
        var _ = mStore.apply(write(SpendingService.TABLE, 500));
        assertEquals(before + 1, mDirect.calls().size());
    }

    /** Guards against a host that acknowledges a write before the store has it. */
    @Test
    void aHostThatIsKilledLosesOnlyWritesThatWereNotAcknowledged() {
        mTime.runFor(VirtualTime.SECOND);
        List<CompletableFuture<TransactionResult>> results = burst(40);
        mTime.runFor(50 * VirtualTime.MILLI);
        long acknowledged =
                results.stream()
                        .filter(result -> result.isDone() && !result.isCompletedExceptionally())
                        .count();
        assertTrue(mStore.queuedCount() > 0);
        assertTrue(acknowledged > 0);
        assertTrue(acknowledged <= mDirect.rows().rows(SpendingService.TABLE).size());
        assertEquals(0, store(27).writesPerSecond());
    }

    /** Guards against hosts that each take the whole rate, and against one that is held to it. */
    @Test
    void theRateBeginsAtTheEvenShareAndFollowsTheStore() {
        WriteRate rate = new WriteRate(1_200, 0);
        rate.setHostCount(27);
        rate.recordRefusal(0);
        assertEquals(1_200.0 / 27, rate.writesPerSecond(), 0.01);
        for (long millis = 100; millis <= 1_000; millis += 100) {
            rate.recordRefusal(millis * VirtualTime.MILLI);
        }
        assertTrue(rate.writesPerSecond() < 600.0 / 27, "" + rate.writesPerSecond());
        double lowest = rate.writesPerSecond();
        rate.nanosUntil(1, 2 * VirtualTime.SECOND);
        assertTrue(rate.writesPerSecond() > lowest);
    }

    /** Guards against joined writes that the store refuses as too large, for ever. */
    @Test
    void writesAreJoinedByTheirSizeInBytes() {
        WriteQueue queue = new WriteQueue();
        for (int i = 0; i < 20; i++) {
            RowTransaction transaction =
                    RowTransaction.replace(
                            new RowId(SpendingService.TABLE, "p", "k" + i),
                            0,
                            "\u00e9".repeat(30_000));
            queue.addLast(
                    new QueuedWrite(
                            transaction,
                            WriteImportance.of(transaction),
                            VirtualTime.SECOND,
                            true,
                            new CompletableFuture<>()));
        }
        List<QueuedWrite> taken = queue.takeNext(0, 1);
        FakeRowStore store = new FakeRowStore();
        assertTrue(taken.size() > 1);
        assertTrue(!store.apply(QueuedWrite.join(taken)).isCompletedExceptionally());
    }

    /** Guards against writes that fail because one of those joined with them is rejected. */
    @Test
    void aRejectedWriteDoesNotFailThoseJoinedWithIt() {
        makeShort();
        RowTransaction good = write(SpendingService.TABLE, 1);
        RowTransaction bad =
                RowTransaction.replace(
                        new RowId(SpendingService.TABLE, "p1", "bad"), 0, "v".repeat(70_000));
        CompletableFuture<TransactionResult> badResult = mStore.apply(bad);
        CompletableFuture<TransactionResult> goodResult = mStore.apply(good);
        mDirect.setWritesPerSecond(100);
        mTime.runFor(VirtualTime.SECOND);
        assertTrue(badResult.isCompletedExceptionally());
        assertInstanceOf(TransactionResult.Committed.class, goodResult.getNow(null));
    }
}
