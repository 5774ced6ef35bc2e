package org.oleandertrack.coordination.stream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.RateRetry;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreCallLimits;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoreRate;

/**
 * Writes origins to one part of the store, those that arrive during a transaction together in the
 * next one, and removes expired ones of this host in the same transactions. Peers hold the origins
 * that the store does not take in time, and hold them instead of the store while its rate is short:
 * an origin is of use for some seconds only, and grants and stored turns need the rate.
 * Thread-safe.
 *
 * <p>Writes have no condition: the origin of a request never changes, so that a write may be
 * repeated, and one that takes effect late does no harm.
 */
final class OriginWriter {

    // A transaction holds at most 100 entries.
    private static final int MAX_WRITES = 50;
    private static final long MAX_WRITTEN_BYTES = StoreCallLimits.MAX_TRANSACTION_BYTES / 2;
    private static final int MAX_REMOVALS = 50;
    private static final int MAX_WAITING = 1_000;
    // The store answers in 10 to 20 ms.
    private static final long PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * An origin that is to be written.
     *
     * @param safe whether the store or some peers have it
     */
    private record Waiting(
            RecordedOrigin recorded,
            RowTransaction.Write write,
            long endNanos,
            AtomicBoolean safe) {}

    /** A row that was written and is to be removed. */
    private record Written(RowId row, long endNanos) {}

    private final RowStore mStore;
    private final StoreRate mRate;
    private final StreamOriginPeers mPeers;
    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final LongSupplier mEpochMillisClock;
    private final RandomGenerator mRandom;
    private final StreamOriginListener mListener;
    private final Deque<Waiting> mWaiting = new ArrayDeque<>();
    private final Deque<Written> mWritten = new ArrayDeque<>();
    private boolean mWriting;
    // Writes that are made alone, because the store has rejected them together.
    private int mSingleWrites;
    // Refusals for the store's rate since the store last answered otherwise.
    private int mRateRefusals;
    private long mLastRateRefusalNanos;

    OriginWriter(
            RowStore store,
            StoreRate rate,
            StreamOriginPeers peers,
            Scheduler scheduler,
            LongSupplier nanoClock,
            LongSupplier epochMillisClock,
            RandomGenerator random,
            StreamOriginListener listener) {
        mStore = store;
        mRate = rate;
        mPeers = peers;
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mEpochMillisClock = epochMillisClock;
        mRandom = random;
        mListener = listener;
    }

    void add(RecordedOrigin recorded) {
        if (isLeftToPeers()) {
            mPeers.hold(List.of(recorded));
            return;
        }
        long retentionMillis = recorded.retentionMillis();
        OriginRows.Value value =
                new OriginRows.Value(
                        recorded.origin().service(),
                        recorded.origin().softwareVersion(),
                        mEpochMillisClock.getAsLong() + retentionMillis);
        Waiting waiting =
                new Waiting(
                        recorded,
                        new RowTransaction.Write(
                                OriginRows.rowOf(recorded.requestId()), RowJson.encode(value)),
                        mNanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(retentionMillis),
                        new AtomicBoolean());
        boolean dropped = false;
        synchronized (this) {
            if (mWaiting.size() >= MAX_WAITING) {
                mWaiting.removeFirst();
                dropped = true;
            }
            mWaiting.addLast(waiting);
        }
        if (dropped) {
            mListener.onDropped(1);
        }
        mScheduler.schedule(PATIENCE_NANOS, () -> holdUnlessOverRate(waiting));
        writeNext();
    }

    private void writeNext() {
        List<Waiting> batch = new ArrayList<>();
        List<RowId> removals = new ArrayList<>();
        synchronized (this) {
            long nowNanos = mNanoClock.getAsLong();
            mWaiting.removeIf(waiting -> nowNanos - waiting.endNanos() >= 0);
            if (mWriting || mWaiting.isEmpty()) {
                return;
            }
            mWriting = true;
            takeBatch(batch);
            while (removals.size() < MAX_REMOVALS
                    && !mWritten.isEmpty()
                    && nowNanos - mWritten.getFirst().endNanos() >= 0) {
                removals.add(mWritten.removeFirst().row());
            }
        }
        write(batch, removals);
    }

    private void takeBatch(List<Waiting> batch) {
        int maxWrites = mSingleWrites > 0 ? 1 : MAX_WRITES;
        mSingleWrites = Math.max(0, mSingleWrites - 1);
        long bytes = 0;
        while (batch.size() < maxWrites && !mWaiting.isEmpty()) {
            bytes += StoreCallLimits.bytesOf(mWaiting.getFirst().write());
            if (!batch.isEmpty() && bytes > MAX_WRITTEN_BYTES) {
                return;
            }
            batch.add(mWaiting.removeFirst());
        }
    }

    private void write(List<Waiting> batch, List<RowId> removals) {
        var _ =
                mStore.apply(
                                new RowTransaction(
                                        List.of(),
                                        batch.stream().map(Waiting::write).toList(),
                                        removals))
                        .whenComplete(
                                (result, failure) -> {
                                    if (failure == null) {
                                        onStored(batch);
                                        return;
                                    }
                                    onWriteFailed(batch, removals, failure);
                                });
    }

    private void onWriteFailed(List<Waiting> batch, List<RowId> removals, Throwable failure) {
        if (StoreFailures.isRejected(failure)) {
            onRejected(batch, removals, StoreFailures.asStoreException(failure).getMessage());
            return;
        }
        if (StoreFailures.isOverRate(failure) && isLeftToPeers()) {
            leaveToPeers(batch, removals);
            return;
        }
        if (StoreFailures.isOverRate(failure)) {
            int earlierRefusals;
            synchronized (this) {
                earlierRefusals = mRateRefusals++;
                mLastRateRefusalNanos = mNanoClock.getAsLong();
            }
            writeAgainLater(batch, removals, RateRetry.pauseNanos(earlierRefusals, mRandom));
            return;
        }
        synchronized (this) {
            mRateRefusals = 0;
        }
        holdAtPeers(batch, StoreFailures.asStoreException(failure).getMessage());
        writeAgainLater(batch, removals, RETRY_NANOS);
    }

    // One of the writes may be the reason. It is left to the memory of peers and not made again.
    private void onRejected(List<Waiting> batch, List<RowId> removals, String reason) {
        if (batch.size() > 1) {
            synchronized (this) {
                mSingleWrites = batch.size();
            }
            writeAgainLater(batch, removals, 0);
            return;
        }
        holdAtPeers(batch, reason);
        writeAgainLater(List.of(), removals, RETRY_NANOS);
    }

    private boolean isLeftToPeers() {
        return mRate.isShort() && mPeers.peerCount() > 0;
    }

    private void leaveToPeers(List<Waiting> batch, List<RowId> removals) {
        mPeers.hold(batch.stream().map(Waiting::recorded).toList());
        batch.forEach(waiting -> waiting.safe().set(true));
        writeAgainLater(List.of(), removals, RETRY_NANOS);
    }

    private void holdUnlessOverRate(Waiting waiting) {
        boolean overRate;
        synchronized (this) {
            overRate =
                    mRateRefusals > 0
                            && mNanoClock.getAsLong() - mLastRateRefusalNanos
                                    < RateRetry.ANSWERED_AGAIN_NANOS;
        }
        if (overRate) {
            mScheduler.schedule(RateRetry.ANSWERED_AGAIN_NANOS, () -> holdUnlessOverRate(waiting));
            return;
        }
        holdAtPeers(List.of(waiting), "no answer in time");
    }

    private void onStored(List<Waiting> batch) {
        batch.forEach(waiting -> waiting.safe().set(true));
        synchronized (this) {
            mWriting = false;
            mRateRefusals = 0;
            batch.forEach(
                    waiting ->
                            mWritten.addLast(
                                    new Written(waiting.write().id(), waiting.endNanos())));
        }
        writeNext();
    }

    private void holdAtPeers(List<Waiting> batch, String reason) {
        List<RecordedOrigin> unsafe =
                batch.stream()
                        .filter(waiting -> waiting.safe().compareAndSet(false, true))
                        .map(Waiting::recorded)
                        .toList();
        if (unsafe.isEmpty()) {
            return;
        }
        mListener.onNotStored(unsafe.size(), reason);
        mPeers.hold(unsafe);
    }

    private void writeAgainLater(List<Waiting> batch, List<RowId> removals, long delayNanos) {
        synchronized (this) {
            for (int i = batch.size() - 1; i >= 0; i--) {
                mWaiting.addFirst(batch.get(i));
            }
            for (int i = removals.size() - 1; i >= 0; i--) {
                mWritten.addFirst(new Written(removals.get(i), mNanoClock.getAsLong()));
            }
        }
        mScheduler.schedule(
                delayNanos,
                () -> {
                    synchronized (this) {
                        mWriting = false;
                    }
                    writeNext();
                });
    }
}
