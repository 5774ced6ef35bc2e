package org.oleandertrack.coordination.pacing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.RowChanges;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.coordination.store.StoredRow;
import org.oleandertrack.coordination.store.TransactionResult;

/**
 * Paces the writes to a store that refuses writes for its rate. While it has refused none lately,
 * each call is passed on at once. Otherwise writes wait in a queue in order of their importance, a
 * refused write is made again, and a write that would wait for longer than its caller can is
 * refused at once. Writes that wait have not been acknowledged to anybody, so a host that is killed
 * loses nothing else. Reads are never delayed. Thread-safe.
 */
public final class PacingRowStore implements RowStore, StoreRate {

    // Writes are paced for this long after a refusal, and while any wait. Together this is to be
    // less than 1 s after a burst.
    private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    // Writes are saved for this long after a refusal. Hosts that are refused seldom, because others
    // are refused instead, would otherwise write in full again and again.
    private static final long SAVING_NANOS = TimeUnit.MILLISECONDS.toNanos(950);
    // Beyond it, writes are refused whatever the rate: conversations take up to some 100 KB each.
    private static final int MAX_QUEUED = 400;
    // A write is refused at once if it is expected to wait for more than this share of the time
    // that
    // it has. The rate may fall while it waits, and would then refuse it only at the end. That is
    // likely while the store takes less than its stated rate, and the share is then smaller.
    private static final double EXPECTED_WAIT_SHARE = 0.8;
    // From this share of the even share on, the store takes what it states, and a longer wait than
    // usual is that of a short peak at this host.
    private static final double NEARLY_STATED_SHARE = 0.8;
    // A part that many hosts write to is written to no less often than this.
    private static final long MAX_PART_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    // Time after which the queue is looked at again if only rates of parts delay it.
    private static final long PART_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long MIN_TIMER_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final RowStore mDirect;
    private final StoreLimits mLimits;
    private final IntSupplier mHostCount;
    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final PacingListener mListener;
    private final WriteRate mRate;
    private final WriteQueue mQueue = new WriteQueue();
    private boolean mTimerSet;
    private boolean mReportedShort;
    private long mShortSinceNanos;

    /**
     * Creates a store that passes all calls on until one is refused.
     *
     * @param hostCount returns the number of hosts that share the rates, as far as known
     */
    public PacingRowStore(
            RowStore direct,
            StoreLimits limits,
            IntSupplier hostCount,
            Scheduler scheduler,
            LongSupplier nanoClock,
            PacingListener listener) {
        mDirect = direct;
        mLimits = limits;
        mHostCount = hostCount;
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mListener = listener;
        mRate = new WriteRate(limits.writesPerSecond(), nanoClock.getAsLong());
    }

    // Accessors

    @Override
    public synchronized boolean isShort() {
        return mRate.isShort(mNanoClock.getAsLong(), SAVING_NANOS) || !mQueue.isEmpty();
    }

    @Override
    public synchronized boolean delaysWrites() {
        return isPacing(mNanoClock.getAsLong());
    }

    /** Returns the number of writes that wait. */
    public synchronized int queuedCount() {
        return mQueue.size();
    }

    /** Returns the rate to which writes are limited; 0 while they are not. */
    public synchronized double writesPerSecond() {
        return delaysWrites() ? mRate.writesPerSecond() : 0;
    }

    // Operations

    @Override
    public CompletableFuture<RowPage> read(
            String table, String part, Optional<String> fromKey, int limit) {
        return mDirect.read(table, part, fromKey, limit);
    }

    @Override
    public CompletableFuture<RowChanges> awaitChanges(
            String table, long afterVersion, long waitMillis) {
        return mDirect.awaitChanges(table, afterVersion, waitMillis);
    }

    @Override
    public CompletableFuture<TransactionResult> apply(RowTransaction transaction) {
        long nowNanos = mNanoClock.getAsLong();
        WriteImportance importance = WriteImportance.of(transaction);
        long endNanos = nowNanos + importance.maxWaitNanos();
        synchronized (this) {
            if (!isPacing(nowNanos)) {
                mRate.recordWrite(nowNanos);
            } else {
                return enqueue(transaction, importance, endNanos, nowNanos);
            }
        }
        return mDirect.apply(transaction)
                .exceptionallyCompose(
                        failure ->
                                StoreFailures.isOverRate(failure)
                                        ? writeAgain(transaction, importance, endNanos)
                                        : CompletableFuture.failedFuture(failure));
    }

    /** Reports when the rate is no longer short. Call regularly. */
    public void runMaintenance() {
        long shortNanos;
        synchronized (this) {
            if (!mReportedShort || isShort()) {
                return;
            }
            mReportedShort = false;
            shortNanos = mNanoClock.getAsLong() - mShortSinceNanos;
        }
        mListener.onSufficient(TimeUnit.NANOSECONDS.toMillis(shortNanos));
    }

    // Helpers

    private boolean isPacing(long nowNanos) {
        return mRate.isShort(nowNanos, QUIET_NANOS) || !mQueue.isEmpty();
    }

    private CompletableFuture<TransactionResult> writeAgain(
            RowTransaction transaction, WriteImportance importance, long endNanos) {
        long nowNanos = mNanoClock.getAsLong();
        recordRefusal(nowNanos);
        synchronized (this) {
            return enqueue(transaction, importance, endNanos, nowNanos);
        }
    }

    private void recordRefusal(long nowNanos) {
        double writesPerSecond;
        synchronized (this) {
            mRate.setHostCount(mHostCount.getAsInt());
            mRate.recordRefusal(nowNanos);
            if (mReportedShort) {
                return;
            }
            mReportedShort = true;
            mShortSinceNanos = nowNanos;
            writesPerSecond = mRate.writesPerSecond();
        }
        mListener.onShort(writesPerSecond);
    }

    private synchronized CompletableFuture<TransactionResult> enqueue(
            RowTransaction transaction, WriteImportance importance, long endNanos, long nowNanos) {
        Optional<QueuedWrite> equal = mQueue.find(transaction);
        if (equal.isPresent()) {
            return equal.get().result();
        }
        long waitNanos = expectedWaitNanos(importance, nowNanos);
        // The work of a stored turn is done, so that nothing is gained by an early refusal.
        boolean usesWholeTime =
                importance == WriteImportance.STORED_TURN
                        || mRate.shareTaken() >= NEARLY_STATED_SHARE;
        double waitShare =
                usesWholeTime ? 1 : EXPECTED_WAIT_SHARE * Math.pow(mRate.shareTaken(), 2);
        long maxWaitNanos = (long) (waitShare * (endNanos - nowNanos));
        if (waitNanos > maxWaitNanos || mQueue.size() >= MAX_QUEUED) {
            return CompletableFuture.failedFuture(refuse(importance, waitNanos));
        }
        CompletableFuture<TransactionResult> result = new CompletableFuture<>();
        mQueue.addLast(new QueuedWrite(transaction, importance, endNanos, true, result));
        setTimer(0);
        return result;
    }

    private long expectedWaitNanos(WriteImportance importance, long nowNanos) {
        long ownNanos = mRate.nanosUntil(mQueue.countBefore(importance) + 1, nowNanos);
        return (long) (ownNanos / (1 - mQueue.shareBefore(importance)));
    }

    private StoreException refuse(WriteImportance importance, long waitNanos) {
        long waitMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(waitNanos));
        mListener.onRefused(importance.name(), waitMillis);
        return StoreException.overRate(
                "the store is over its rate: the write would wait for " + waitMillis + " ms",
                waitMillis);
    }

    // Sends on the scheduler only, so that results do not complete inside of a caller's lock.
    private void setTimer(long delayNanos) {
        if (!mTimerSet) {
            mTimerSet = true;
            mScheduler.schedule(delayNanos, this::sendReady);
        }
    }

    private void sendReady() {
        List<QueuedWrite> expired;
        List<List<QueuedWrite>> transactions = new ArrayList<>();
        long waitNanos;
        synchronized (this) {
            long nowNanos = mNanoClock.getAsLong();
            mTimerSet = false;
            mRate.setHostCount(mHostCount.getAsInt());
            expired = mQueue.removeExpired(nowNanos);
            while (mQueue.hasReady(nowNanos) && mRate.tryTake(nowNanos)) {
                transactions.add(mQueue.takeNext(nowNanos, partIntervalNanos()));
            }
            waitNanos = mRate.nanosUntil(mQueue.size() + 1, nowNanos);
            if (!mQueue.isEmpty()) {
                setTimer(
                        mQueue.hasReady(nowNanos)
                                ? Math.max(MIN_TIMER_NANOS, mRate.nanosUntil(1, nowNanos))
                                : PART_CHECK_NANOS);
            }
        }
        expired.forEach(
                write ->
                        write.result()
                                .completeExceptionally(refuse(write.importance(), waitNanos)));
        transactions.forEach(this::send);
    }

    private long partIntervalNanos() {
        double seconds = mHostCount.getAsInt() / mLimits.partWritesPerSecond();
        return Math.min(MAX_PART_INTERVAL_NANOS, (long) (seconds * NANOS_PER_SECOND));
    }

    private void send(List<QueuedWrite> writes) {
        if (writes.size() > 1) {
            mListener.onJoined(writes.size());
        }
        var _ =
                mDirect.apply(QueuedWrite.join(writes))
                        .whenComplete((result, failure) -> onEnded(writes, result, failure));
    }

    private void onEnded(List<QueuedWrite> writes, TransactionResult result, Throwable failure) {
        if (StoreFailures.isOverRate(failure)) {
            recordRefusal(mNanoClock.getAsLong());
        }
        synchronized (this) {
            mQueue.recordEnd(writes.getFirst().part());
        }
        if (StoreFailures.isOverRate(failure)) {
            addAgain(writes);
        } else if (result instanceof TransactionResult.Rejected rejected && writes.size() > 1) {
            separate(writes, rejected);
        } else if (StoreFailures.isRejected(failure) && writes.size() > 1) {
            // One of them may be the reason, and must not fail the others.
            addAgain(writes.stream().map(QueuedWrite::alone).toList());
        } else {
            writes.forEach(write -> end(write, result, failure));
        }
    }

    private synchronized void addAgain(List<QueuedWrite> writes) {
        for (QueuedWrite write : writes.reversed()) {
            Optional<QueuedWrite> equal = mQueue.find(write.transaction());
            if (equal.isPresent()) {
                var _ =
                        equal.get()
                                .result()
                                .whenComplete((value, failure) -> end(write, value, failure));
            } else {
                mQueue.addFirst(write);
            }
        }
        setTimer(0);
    }

    private static void end(QueuedWrite write, TransactionResult result, Throwable failure) {
        if (failure != null) {
            write.result().completeExceptionally(StoreFailures.asStoreException(failure));
        } else {
            write.result().complete(result);
        }
    }

    // The store states the current versions for all conditions, so it is known which writes it
    // would have rejected alone. The others have had no effect and are made without them.
    private void separate(List<QueuedWrite> writes, TransactionResult.Rejected rejected) {
        Map<RowId, Long> versions = new HashMap<>();
        rejected.current().forEach(row -> versions.put(row.id(), row.version()));
        List<QueuedWrite> again = new ArrayList<>();
        for (QueuedWrite write : writes) {
            boolean holds =
                    write.transaction().conditions().stream()
                            .allMatch(
                                    condition ->
                                            versions.getOrDefault(condition.id(), 0L)
                                                    == condition.version());
            if (holds) {
                again.add(write.alone());
            } else {
                write.result().complete(rejectionOf(write, rejected));
            }
        }
        addAgain(again);
    }

    private static TransactionResult.Rejected rejectionOf(
            QueuedWrite write, TransactionResult.Rejected rejected) {
        List<StoredRow> own =
                rejected.current().stream()
                        .filter(
                                row ->
                                        write.transaction().conditions().stream()
                                                .anyMatch(
                                                        condition ->
                                                                condition.id().equals(row.id())))
                        .toList();
        return new TransactionResult.Rejected(own);
    }
}
