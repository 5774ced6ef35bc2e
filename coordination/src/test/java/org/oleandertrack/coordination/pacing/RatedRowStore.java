package org.oleandertrack.coordination.pacing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.oleandertrack.coordination.sim.VirtualTime;
import org.oleandertrack.coordination.spending.FakeRowStore;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.TransactionResult;

/**
 * A store that takes a number of transactions a second from all hosts and refuses more, and runs
 * those of one part one after another, at most a second's worth of which wait.
 */
final class RatedRowStore implements RowStore {

    private static final long ANSWER_NANOS = 5 * VirtualTime.MILLI;
    private static final double BURST_SECONDS = 0.1;

    private final VirtualTime mTime;
    private final FakeRowStore mRows = new FakeRowStore();
    private final Map<String, Long> mPartEndNanos = new HashMap<>();
    private final List<RowTransaction> mCalls = new ArrayList<>();
    private final long mPartWriteNanos;
    private double mWritesPerSecond;
    private double mTokens;
    private long mUpdatedNanos;
    private int mRefusals;
    private long mLastRefusalNanos;

    RatedRowStore(VirtualTime time, double writesPerSecond, double partWritesPerSecond) {
        mTime = time;
        mPartWriteNanos = (long) (VirtualTime.SECOND / partWritesPerSecond);
        mWritesPerSecond = writesPerSecond;
        mTokens = writesPerSecond * BURST_SECONDS;
    }

    void setWritesPerSecond(double writesPerSecond) {
        mWritesPerSecond = writesPerSecond;
        mTokens = 0;
    }

    /** Returns all transactions that were requested, in order. */
    List<RowTransaction> calls() {
        return mCalls;
    }

    int refusals() {
        return mRefusals;
    }

    long lastRefusalNanos() {
        return mLastRefusalNanos;
    }

    FakeRowStore rows() {
        return mRows;
    }

    @Override
    public CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        return later(ANSWER_NANOS, () -> mRows.read(table, part, fromKey, limit).join());
    }

    @Override
    public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        mCalls.add(transaction);
        long nowNanos = mTime.nowNanos();
        double seconds = (nowNanos - mUpdatedNanos) / (double) VirtualTime.SECOND;
        mTokens =
                Math.min(
                        Math.max(1, mWritesPerSecond * BURST_SECONDS),
                        mTokens + mWritesPerSecond * seconds);
        mUpdatedNanos = nowNanos;
        RowId id =
                transaction.writes().isEmpty()
                        ? transaction.removals().getFirst()
                        : transaction.writes().getFirst().id();
        String part = id.table() + "/" + id.part();
        long beginNanos = Math.max(nowNanos, mPartEndNanos.getOrDefault(part, 0L));
        if (mTokens < 1 || beginNanos - nowNanos > VirtualTime.SECOND) {
            mRefusals++;
            mLastRefusalNanos = nowNanos;
            return later(VirtualTime.MILLI, () -> null)
                    .thenCompose(
                            none ->
                                    CompletableFuture.failedFuture(
                                            StoreException.overRate("429", 0)));
        }
        mTokens--;
        mPartEndNanos.put(part, beginNanos + mPartWriteNanos);
        return later(beginNanos - nowNanos + ANSWER_NANOS, () -> null)
                .thenCompose(none -> mRows.apply(transaction));
    }

    @Override
    public CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        return mRows.awaitChanges(table, afterVersion, waitMillis);
    }

    private <T> CompletableFuture<T> later(long delayNanos, Supplier<T> answer) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mTime.schedule(delayNanos, () -> result.complete(answer.get()));
        return result;
    }
}
