package org.oleandertrack.coordination.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.RowChange;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;
import org.oleandertrack.core.result.Execution;

/** Guards against missed changes, and against frequent retries that overload a recovering store. */
final class TableFollowerTest {

    private static final StoredRow ROW = new StoredRow(new RowId("t", "", "k"), "v", 3);

    private final List<String> mEvents = new ArrayList<>();
    private final ArrayDeque<CompletableFuture<RowChanges>> mFeeds = new ArrayDeque<>();
    private final ArrayDeque<CompletableFuture<RowPage>> mReads = new ArrayDeque<>();
    private final List<Long> mAskedAfter = new ArrayList<>();
    private final List<Long> mDelaysMillis = new ArrayList<>();
    private final ArrayDeque<Runnable> mTasks = new ArrayDeque<>();
    private final List<String> mConfirmations = new ArrayList<>();
    private long mNowNanos;
    private int mFailuresOfListener;

    private final RowStore mStore =
            new RowStore() {
                @Override
                public CompletableFuture<RowPage> read(
                        String table, String part, Optional<String> fromKey, int limit) {
                    return mReads.poll();
                }

                @Override
                public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
                    throw new IllegalStateException("a follower writes nothing");
                }

                @Override
                public CompletableFuture<RowChanges> awaitChanges(
                        String table, long afterVersion, long waitMillis) {
                    mAskedAfter.add(afterVersion);
                    return mFeeds.isEmpty() ? new CompletableFuture<>() : mFeeds.poll();
                }
            };

    private final Scheduler mScheduler =
            (delayNanos, task) -> {
                mDelaysMillis.add(TimeUnit.NANOSECONDS.toMillis(delayNanos));
                mTasks.add(task);
                return () -> {};
            };

    private final TableListener mListener =
            new TableListener() {
                @Override
                public void onTableRead(List<StoredRow> rows) {
                    failIfAsked();
                    mEvents.add("replaced " + rows.size());
                }

                @Override
                public void onRowsChanged(List<RowChange> changes) {
                    failIfAsked();
                    mEvents.add("changed " + changes.size());
                }

                @Override
                public void onConfirmed(long begunNanos, long begunWallMillis) {
                    mConfirmations.add(begunNanos + " " + begunWallMillis);
                }

                @Override
                public void onStoreLost(String reason) {
                    mEvents.add("lost");
                }

                @Override
                public void onStoreRegained(long outageMillis) {
                    mEvents.add("regained");
                }
            };

    private void start() {
        new TableFollower(
                        mStore,
                        "t",
                        TableFollower.MAX_WAIT_MILLIS,
                        mScheduler,
                        () -> mNowNanos,
                        () -> mNowNanos + 1_000,
                        new Random(1),
                        mListener)
                .start();
    }

    private void failIfAsked() {
        if (mFailuresOfListener > 0) {
            mFailuresOfListener--;
            throw new IllegalStateException("the rows were not taken");
        }
    }

    private static <T> CompletableFuture<T> failed() {
        return CompletableFuture.failedFuture(
                new StoreException(Execution.UNKNOWN, "no answer", null));
    }

    private static CompletableFuture<RowPage> page(long version) {
        return CompletableFuture.completedFuture(new RowPage(List.of(ROW), false, version));
    }

    @Test
    void changesAreAskedForAfterTheLastKnownVersion() {
        mReads.add(page(5));
        mFeeds.add(
                CompletableFuture.completedFuture(
                        new RowChanges.Changed(List.of(new RowChange.Written(ROW)), 8)));
        start();
        assertEquals(List.of("replaced 1", "changed 1"), mEvents);
        assertEquals(List.of(5L, 8L), mAskedAfter);
    }

    @Test
    void aLostHistoryCausesAReadOfTheWholeTable() {
        mReads.add(page(5));
        mReads.add(page(20));
        mFeeds.add(CompletableFuture.completedFuture(new RowChanges.HistoryLost()));
        start();
        assertEquals(List.of("replaced 1", "replaced 1"), mEvents);
        assertEquals(List.of(5L, 20L), mAskedAfter);
    }

    /** Guards against a store over its rate that is reported as lost. */
    @Test
    void aRefusalForTheRateIsNoOutage() {
        mReads.add(CompletableFuture.failedFuture(StoreException.overRate("over", 0)));
        mReads.add(page(5));
        mFeeds.add(CompletableFuture.failedFuture(StoreException.overRate("over", 0)));
        start();
        while (!mTasks.isEmpty()) {
            mTasks.poll().run();
        }
        assertEquals(List.of("replaced 1"), mEvents);
        assertEquals(2, mDelaysMillis.size());
    }

    @Test
    void anOutageIsReportedOnceAndRetriesSlowDown() {
        for (int i = 0; i < 8; i++) {
            mReads.add(failed());
        }
        mReads.add(page(5));
        start();
        while (!mTasks.isEmpty()) {
            mTasks.poll().run();
        }
        assertEquals(List.of("lost", "regained", "replaced 1"), mEvents);
        assertTrue(mDelaysMillis.getLast() >= 250, mDelaysMillis.toString());
        assertTrue(mDelaysMillis.stream().allMatch(delay -> delay <= 500));
    }

    /** Guards against an answer that counts as newer than the call that it answers. */
    @Test
    void anAnswerIsConfirmedAsOfTheStartOfItsCall() {
        mReads.add(page(5));
        CompletableFuture<RowChanges> feed = new CompletableFuture<>();
        mFeeds.add(feed);
        mNowNanos = 1;
        start();
        mNowNanos = 2;
        feed.complete(new RowChanges.Changed(List.of(), 5));
        assertEquals(List.of("1 1001", "1 1001"), mConfirmations);
    }

    /** Guards against a lost history or a failure that counts as a confirmation. */
    @Test
    void onlyAnswersThatStateAllRowsConfirm() {
        mReads.add(page(5));
        mReads.add(failed());
        mFeeds.add(CompletableFuture.completedFuture(new RowChanges.HistoryLost()));
        start();
        assertEquals(List.of("0 1000"), mConfirmations);
    }

    /** Guards against a change that is never in force, because it failed to be taken once. */
    @Test
    void rowsThatWereNotTakenAreReadAgain() {
        CompletableFuture<RowChanges> feed = new CompletableFuture<>();
        mReads.add(page(5));
        mFeeds.add(feed);
        mReads.add(page(7));
        start();
        mFailuresOfListener = 1;
        feed.complete(new RowChanges.Changed(List.of(new RowChange.Written(ROW)), 7));
        mTasks.poll().run();
        assertEquals(List.of("replaced 1", "lost", "regained", "replaced 1"), mEvents);
    }
}
