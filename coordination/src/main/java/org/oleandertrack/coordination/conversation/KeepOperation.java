package org.oleandertrack.coordination.conversation;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.RateRetry;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.core.result.Execution;

/**
 * The attempts to have one turn confirmed by the store: writes of this host and, if the store does
 * not answer them, writes of peers that may reach it. Ends with {@link KeepResult.NotKept} if the
 * store confirms none of them in time. Thread-safe.
 */
final class KeepOperation {

    /** Callers give up a stream after two seconds without an event. */
    static final long LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

    // The store answers in 10 to 20 ms. A call whose answer is lost stays open until its timeout;
    // after this time it is made again, and both may be executed.
    private static final long FIRST_REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    // They try each part of a turn, and reach a store that is back shortly before the limit.
    private static final List<Long> LATER_REPEAT_NANOS =
            Stream.of(240, 400, 560, 720, 900, 1_100, 1_300, 1_500, 1_650)
                    .map(TimeUnit.MILLISECONDS::toNanos)
                    .toList();
    // A slow store answers within 500 ms. After this time, peers write the turn as well.
    private static final long PEER_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final long PEER_REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    // Pause after the first failed write; doubled after each of the next ones.
    private static final long WRITE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int MAX_DOUBLINGS = 2;
    // Writes to a turn's usual part, before its other parts are tried in turn.
    private static final int USUAL_PART_WRITES = 2;
    private static final int MAX_PEER_ROUNDS = 2;
    // Peers accept messages of 2 MB. The rows of a larger turn are passed on one by one if the
    // store
    // refuses this host.
    private static final int MAX_PEER_BYTES = 512 * 1024;

    private final KeptTurn mTurn;
    private final ConversationStore mStore;
    private final StoreRate mRate;
    private final ConversationPeers mPeers;
    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final RandomGenerator mRandom;
    private final OpenWrites mOpenWrites;
    private final long mKeptMillis;
    private final CompletableFuture<KeepResult> mResult = new CompletableFuture<>();
    private final AtomicInteger mWrites = new AtomicInteger();
    private final AtomicInteger mOwnOpenWrites = new AtomicInteger();
    private final AtomicInteger mFailedWrites = new AtomicInteger();
    private final AtomicInteger mRefusedWrites = new AtomicInteger();
    private final AtomicBoolean mRetryPending = new AtomicBoolean();
    private final AtomicInteger mRateRefusals = new AtomicInteger();
    private final AtomicInteger mPeerRounds = new AtomicInteger();
    private volatile long mLastRateRefusalNanos;
    private volatile String mLastFailure = "the store has not answered";

    /**
     * Creates an operation.
     *
     * @param openWrites the unanswered writes of this host
     * @param keptMillis time of day at which the turn ended, in milliseconds since the epoch
     */
    KeepOperation(
            KeptTurn turn,
            ConversationStore store,
            StoreRate rate,
            ConversationPeers peers,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random,
            OpenWrites openWrites,
            long keptMillis) {
        mTurn = turn;
        mStore = store;
        mRate = rate;
        mPeers = peers;
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mRandom = random;
        mOpenWrites = openWrites;
        mKeptMillis = keptMillis;
    }

    /** Starts the attempts. The future never fails. */
    CompletableFuture<KeepResult> start() {
        mScheduler.schedule(FIRST_REPEAT_NANOS, this::repeatWrite);
        LATER_REPEAT_NANOS.forEach(
                delayNanos -> mScheduler.schedule(delayNanos, this::repeatWrite));
        mScheduler.schedule(PEER_DELAY_NANOS, this::askPeersUnlessOverRate);
        mScheduler.schedule(LIMIT_NANOS, this::giveUp);
        mOwnOpenWrites.incrementAndGet();
        mOpenWrites.add(mTurn.conversation().sizeBytes());
        write();
        return mResult;
    }

    // Writes of this host

    private void write() {
        var _ =
                mStore.write(mTurn, partChoice(), mKeptMillis)
                        .whenComplete(
                                (receipt, failure) -> {
                                    mOpenWrites.remove(mTurn.conversation().sizeBytes());
                                    mOwnOpenWrites.decrementAndGet();
                                    if (failure == null) {
                                        mResult.complete(new KeepResult.Kept(receipt));
                                    } else {
                                        onWriteFailed(failure);
                                    }
                                });
    }

    // The part may be the only one that is unavailable, and an answer may have been lost. A write
    // that waits for the store's rate stays in its part, so that it is written once.
    private int partChoice() {
        if (mRate.isShort()) {
            return 0;
        }
        int write = mWrites.getAndIncrement();
        return write < USUAL_PART_WRITES
                ? 0
                : (write - USUAL_PART_WRITES + 1) % ConversationRows.PART_CHOICES;
    }

    // A write of unknown outcome may be repeated. Peers may reach a store that refuses this host,
    // but would be refused as well if all hosts together are over the rate.
    private void onWriteFailed(Throwable failure) {
        mLastFailure = StoreFailures.asStoreException(failure).getMessage();
        if (StoreFailures.isRejected(failure)) {
            mResult.complete(new KeepResult.NotKept(mLastFailure));
            return;
        }
        if (StoreFailures.isOverRate(failure)) {
            mLastRateRefusalNanos = mNanoClock.getAsLong();
            retryAfter(RateRetry.pauseNanos(mRateRefusals.getAndIncrement(), mRandom));
            return;
        }
        boolean refused = StoreFailures.executionOf(failure) == Execution.NOT_RUN;
        if (refused && mRefusedWrites.incrementAndGet() == 2) {
            askPeers();
        }
        retryAfter(WRITE_RETRY_NANOS << Math.min(mFailedWrites.getAndIncrement(), MAX_DOUBLINGS));
    }

    // At most one retry is pending, or the writes of a store that refuses them would multiply.
    private void retryAfter(long delayNanos) {
        if (mRetryPending.compareAndSet(false, true)) {
            mScheduler.schedule(
                    delayNanos,
                    () -> {
                        mRetryPending.set(false);
                        writeUnlessEnded();
                    });
        }
    }

    // A write that has failed is made again after its own pause.
    private void repeatWrite() {
        if (!mRetryPending.get()) {
            writeUnlessEnded();
        }
    }

    // A large turn is repeated only if the memory for its writes is bounded.
    private void writeUnlessEnded() {
        if (mResult.isDone()) {
            return;
        }
        int sizeBytes = mTurn.conversation().sizeBytes();
        if (mOwnOpenWrites.getAndIncrement() == 0) {
            mOpenWrites.add(sizeBytes);
        } else if (!mOpenWrites.tryAdd(sizeBytes)) {
            mOwnOpenWrites.decrementAndGet();
            return;
        }
        write();
    }

    private void giveUp() {
        mResult.complete(new KeepResult.NotKept(mLastFailure));
    }

    // Writes of peers

    private void askPeersUnlessOverRate() {
        long sinceRefusalNanos = mNanoClock.getAsLong() - mLastRateRefusalNanos;
        boolean refused =
                mRateRefusals.get() > 0 && sinceRefusalNanos < RateRetry.ANSWERED_AGAIN_NANOS;
        if (refused || mRate.delaysWrites()) {
            mScheduler.schedule(RateRetry.ANSWERED_AGAIN_NANOS, this::askPeersUnlessOverRate);
            return;
        }
        askPeers();
    }

    private void askPeers() {
        if (mResult.isDone() || mTurn.conversation().sizeBytes() > MAX_PEER_BYTES) {
            return;
        }
        int round = mPeerRounds.getAndIncrement();
        if (round >= MAX_PEER_ROUNDS) {
            return;
        }
        mScheduler.schedule(PEER_REPEAT_NANOS, this::askPeers);
        var _ = mPeers.write(mTurn, round, mKeptMillis).thenAccept(this::onPeersAnswered);
    }

    private void onPeersAnswered(boolean confirmed) {
        if (confirmed) {
            mResult.complete(
                    new KeepResult.Kept(
                            new StoreReceipt(mTurn.turnId(), StoreReceipt.Writer.PEER)));
        }
    }
}
