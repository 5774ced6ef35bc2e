package org.oleandertrack.coordination.conversation;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.RateRetry;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.core.result.Execution;

/**
 * Keeps the turns of conversations and finds them by id. A turn is kept in the store before its
 * response ends. While the store is away, this host and some peers hold the turn, and each of them
 * writes it when the store is back. Thread-safe.
 */
public final class ConversationService {

    /** Table with the rows of kept turns. */
    public static final String TURN_TABLE = ConversationRows.TURN_TABLE;

    /** Table with one row for each kept turn, by the time when it may be removed. */
    public static final String DUE_TABLE = ConversationRows.DUE_TABLE;

    // A slow store answers within 500 ms. After this time, peers hold the turn as well.
    private static final long STORE_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    // The store answers in 10 to 20 ms. A call whose answer is lost stays open until its timeout;
    // after this time it is made again, and both may be executed.
    private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    // Later repetitions of a write. They try each part of a turn before hosts alone hold it.
    private static final List<Long> LATER_REPEAT_NANOS =
            Stream.of(240, 400, 560, 720, 900, 1_100, 1_300)
                    .map(TimeUnit.MILLISECONDS::toNanos)
                    .toList();
    // A caller's next turn should not wait for a store that is away if a peer has the turn.
    private static final long READ_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long WRITE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    // While the store answers other writes, a turn is not left to the memory of hosts before this
    // time: all hosts may be lost at once.
    private static final long HELD_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    // Writes to a turn's usual part, before its other parts are tried in turn.
    private static final int USUAL_PART_WRITES = 2;
    // A hand-over without an answer is repeated after this time, perhaps to another part.
    private static final long HAND_OVER_REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    // Callers give up a stream after two seconds without an event.
    private static final long KEEP_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);
    // While writes of this host have succeeded within this time, the store is not away: it refuses
    // some calls or some hosts, and a refused write is repeated rather than held by hosts alone.
    private static final long STORE_AWAY_NANOS = TimeUnit.SECONDS.toNanos(2);
    // A read that is refused for the store's rate is repeated for this long.
    private static final long READ_RATE_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    private static final int MAX_HAND_OVERS_IN_FLIGHT = 8;
    // Searches are this much rarer while the store's rate is short. They are not left out, so that
    // the tables do not grow without end.
    private static final int REMOVAL_DELAY_FACTOR = 10;
    // Each part is searched for expired turns about once in this time, by any host.
    private static final long REMOVAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final ConversationStore mStore;
    private final StoreRate mRate;
    private final ConversationPeers mPeers;
    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final LongSupplier mEpochMillisClock;
    private final ConversationListener mListener;
    private final ConversationCache mCache;
    private final HeldTurns mHeldTurns;
    private final Set<String> mHandOversInFlight = ConcurrentHashMap.newKeySet();
    private final long mStartNanos;
    private final AtomicLong mLastWriteNanos;
    private final RandomGenerator mRandom;
    private final List<String> mParts = ConversationRows.parts().toList();
    private long mLastSearchNanos;

    /**
     * Creates a service.
     *
     * @param rate tells when the removal of expired turns is put off
     * @param nanoClock monotonic time, in nanoseconds
     * @param epochMillisClock time of day, in milliseconds since the epoch
     * @param random chooses the parts of the store that are searched for expired turns
     */
    public ConversationService(
            RowStore store,
            StoreRate rate,
            ConversationPeers peers,
            Scheduler scheduler,
            LongSupplier nanoClock,
            LongSupplier epochMillisClock,
            RandomGenerator random,
            ConversationListener listener,
            ConversationLimits limits) {
        mStore = new ConversationStore(store, epochMillisClock);
        mRate = rate;
        mPeers = peers;
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mEpochMillisClock = epochMillisClock;
        mRandom = random;
        mListener = listener;
        mCache = new ConversationCache(limits.cacheBytes());
        mHeldTurns = new HeldTurns(limits.heldBytes());
        mStartNanos = nanoClock.getAsLong();
        mLastWriteNanos = new AtomicLong(mStartNanos);
        mLastSearchNanos = mStartNanos;
    }

    // Accessors

    /** Returns the number of turns that the store does not have yet. */
    public int heldCount() {
        return mHeldTurns.count();
    }

    // Operations

    /** Keeps a turn that has generated its last event. The future never fails. */
    public CompletableFuture<KeepOutcome> keep(KeptTurn turn) {
        Keeping keeping = new Keeping(turn);
        keeping.start();
        return keeping.mOutcome;
    }

    /**
     * Forgets this host's copy of a turn whose response did not end whole, so that the conversation
     * continues from another try of the same turn, if there is one.
     */
    public void forget(String turnId) {
        mCache.remove(turnId);
        mHeldTurns.remove(turnId);
    }

    /**
     * Finds the conversation up to and including a turn. The future never fails.
     *
     * @param retentionMillis time for which turns are kept, in milliseconds
     */
    public CompletableFuture<TurnLookup> find(String turnId, long retentionMillis) {
        Optional<Conversation> local = findLocally(turnId);
        if (local.isPresent()) {
            return CompletableFuture.completedFuture(
                    new TurnLookup.Found(local.get(), TurnLookup.Source.LOCAL));
        }
        Finding finding = new Finding(turnId, retentionMillis);
        finding.start();
        return finding.mResult;
    }

    /** Holds a turn for a peer until the store has it; returns whether there is room for it. */
    public boolean holdForPeer(KeptTurn turn) {
        return mHeldTurns.add(turn, mNanoClock.getAsLong());
    }

    /** Returns a conversation that this host has in memory. */
    public Optional<Conversation> findLocally(String turnId) {
        return mCache.get(turnId).or(() -> mHeldTurns.get(turnId));
    }

    /**
     * Returns whether this host would still hold each turn that it has agreed to hold within the
     * given time. A host that started later may have held a turn before.
     */
    public boolean remembersSince(long retentionMillis) {
        return mNanoClock.getAsLong() - mStartNanos
                >= TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    }

    /** Hands held turns over to the store and removes expired ones from it. Call regularly. */
    public void runMaintenance() {
        mHeldTurns.removeExpired(mNanoClock.getAsLong()).forEach(mListener::onHeldTurnExpired);
        handOver();
        searchNextPart();
    }

    // Helpers

    private void handOver() {
        for (KeptTurn turn : mHeldTurns.oldest(MAX_HAND_OVERS_IN_FLIGHT)) {
            if (!mHandOversInFlight.add(turn.turnId())) {
                continue;
            }
            mScheduler.schedule(
                    HAND_OVER_REPEAT_NANOS, () -> mHandOversInFlight.remove(turn.turnId()));
            var _ =
                    mStore.write(
                                    turn,
                                    mRandom.nextInt(ConversationRows.PART_CHOICES),
                                    mEpochMillisClock.getAsLong())
                            .whenComplete(
                                    (done, failure) -> {
                                        mHandOversInFlight.remove(turn.turnId());
                                        if (failure == null) {
                                            onStored(turn);
                                        }
                                    });
        }
    }

    private void onStored(KeptTurn turn) {
        mLastWriteNanos.set(mNanoClock.getAsLong());
        if (mHeldTurns.remove(turn.turnId())) {
            mListener.onHandedOver(turn.turnId());
        }
    }

    // Hosts choose parts at random and need not agree: a removal may be repeated, and other hosts
    // search the parts of a host that is gone.
    private synchronized void searchNextPart() {
        long nowNanos = mNanoClock.getAsLong();
        long intervalNanos = REMOVAL_INTERVAL_NANOS * (1 + mPeers.peerCount()) / mParts.size();
        if (nowNanos - mLastSearchNanos
                < intervalNanos * (mRate.isShort() ? REMOVAL_DELAY_FACTOR : 1)) {
            return;
        }
        mLastSearchNanos = nowNanos;
        removeExpired(mParts.get(mRandom.nextInt(mParts.size())));
    }

    private void removeExpired(String part) {
        var _ =
                mStore.removeExpired(part)
                        .whenComplete(
                                (turns, failure) -> {
                                    if (failure != null) {
                                        mListener.onRemovalFailed(part, reason(failure));
                                    } else if (turns > 0) {
                                        mListener.onRemoved(part, turns);
                                        removeExpired(part);
                                    }
                                });
    }

    private static String reason(Throwable failure) {
        return StoreFailures.asStoreException(failure).getMessage();
    }

    /** The attempts to keep one turn: in the store and, if that takes long or fails, at peers. */
    private final class Keeping {
        private final KeptTurn mTurn;
        private final long mBeginNanos = mNanoClock.getAsLong();
        private final long mBeginMillis = mEpochMillisClock.getAsLong();
        private final CompletableFuture<KeepOutcome> mOutcome = new CompletableFuture<>();
        private final AtomicInteger mRefusedWrites = new AtomicInteger();
        private final AtomicInteger mWrites = new AtomicInteger();
        private final AtomicInteger mRateRefusals = new AtomicInteger();
        private volatile long mLastRateRefusalNanos;
        private volatile boolean mPausing;
        private boolean mAskedPeers;

        private Keeping(KeptTurn turn) {
            mTurn = turn;
        }

        private void start() {
            mScheduler.schedule(REPEAT_NANOS, this::repeatWrite);
            LATER_REPEAT_NANOS.forEach(
                    delayNanos -> mScheduler.schedule(delayNanos, this::repeatWrite));
            mScheduler.schedule(STORE_PATIENCE_NANOS, this::holdUnlessOverRate);
            write();
        }

        private void write() {
            mPausing = false;
            var _ =
                    mStore.write(mTurn, partChoice(), mBeginMillis)
                            .whenComplete(
                                    (done, failure) -> {
                                        if (failure == null) {
                                            mCache.put(mTurn.turnId(), mTurn.conversation());
                                            onStored(mTurn);
                                            mOutcome.complete(KeepOutcome.STORED);
                                        } else {
                                            onWriteFailed(failure);
                                        }
                                    });
        }

        // The part may be the only one that is unavailable, and an answer may have been lost. A
        // write that waits for the store's rate stays in its part, so that it is written once.
        private int partChoice() {
            if (mRate.isShort()) {
                return 0;
            }
            int write = mWrites.getAndIncrement();
            return write < USUAL_PART_WRITES
                    ? 0
                    : (write - USUAL_PART_WRITES + 1) % ConversationRows.PART_CHOICES;
        }

        // A write of unknown outcome may be repeated. A store that refuses all writes is away, and
        // peers then hold and write the turn. One over its rate is not away, and the writes of the
        // peers would be refused as well.
        private void onWriteFailed(Throwable failure) {
            boolean overRate = StoreFailures.isOverRate(failure);
            boolean refused = !overRate && StoreFailures.executionOf(failure) == Execution.NOT_RUN;
            boolean away = mNanoClock.getAsLong() - mLastWriteNanos.get() >= STORE_AWAY_NANOS;
            if (refused && mRefusedWrites.incrementAndGet() > 1 && away) {
                holdUnlessEnded();
            }
            if (mOutcome.isDone()) {
                return;
            }
            if (mNanoClock.getAsLong() - mBeginNanos >= KEEP_LIMIT_NANOS) {
                mHeldTurns.remove(mTurn.turnId());
                mOutcome.complete(KeepOutcome.NOT_KEPT);
                return;
            }
            if (overRate) {
                mPausing = true;
                mLastRateRefusalNanos = mNanoClock.getAsLong();
                mScheduler.schedule(
                        RateRetry.pauseNanos(mRateRefusals.getAndIncrement(), mRandom),
                        this::writeUnlessEnded);
                return;
            }
            mScheduler.schedule(WRITE_RETRY_NANOS, this::writeUnlessEnded);
        }

        // A write that was refused for the rate is made again after its own pause.
        private void repeatWrite() {
            if (!mPausing) {
                writeUnlessEnded();
            }
        }

        private void holdUnlessOverRate() {
            long sinceRefusalNanos = mNanoClock.getAsLong() - mLastRateRefusalNanos;
            boolean refused =
                    mRateRefusals.get() > 0 && sinceRefusalNanos < RateRetry.ANSWERED_AGAIN_NANOS;
            if (refused || mRate.delaysWrites()) {
                mScheduler.schedule(RateRetry.ANSWERED_AGAIN_NANOS, this::holdUnlessOverRate);
                return;
            }
            holdUnlessEnded();
        }

        private void writeUnlessEnded() {
            if (!mOutcome.isDone()) {
                write();
            }
        }

        private void holdUnlessEnded() {
            synchronized (this) {
                if (mOutcome.isDone() || mAskedPeers) {
                    return;
                }
                mAskedPeers = true;
            }
            boolean heldHere = mHeldTurns.add(mTurn, mNanoClock.getAsLong());
            if (mPeers.peerCount() == 0) {
                if (heldHere) {
                    acceptHeld();
                }
                return;
            }
            var _ =
                    mPeers.hold(mTurn)
                            .thenAccept(
                                    peers -> {
                                        if (peers > 0) {
                                            acceptHeld();
                                        }
                                    });
        }

        private void acceptHeld() {
            boolean storeAnswersOthers = mLastWriteNanos.get() - mBeginNanos > 0;
            long remainingNanos = mBeginNanos + HELD_PATIENCE_NANOS - mNanoClock.getAsLong();
            if (storeAnswersOthers && remainingNanos > 0) {
                mScheduler.schedule(remainingNanos, () -> mOutcome.complete(KeepOutcome.HELD));
                return;
            }
            mOutcome.complete(KeepOutcome.HELD);
        }
    }

    /** The search for one turn that this host does not have in memory. */
    private final class Finding {
        private final String mTurnId;
        private final long mRetentionMillis;
        private final long mBeginNanos = mNanoClock.getAsLong();
        private final CompletableFuture<TurnLookup> mResult = new CompletableFuture<>();
        private final AtomicInteger mRateRefusals = new AtomicInteger();

        private Finding(String turnId, long retentionMillis) {
            mTurnId = turnId;
            mRetentionMillis = retentionMillis;
        }

        private void start() {
            mScheduler.schedule(
                    REPEAT_NANOS,
                    () -> {
                        if (mRateRefusals.get() == 0) {
                            readUnlessEnded();
                        }
                    });
            mScheduler.schedule(READ_PATIENCE_NANOS, this::askPeersEarly);
            mScheduler.schedule(READ_PATIENCE_NANOS, () -> readOtherPartsUnlessEnded(() -> {}));
            read();
        }

        private void readUnlessEnded() {
            if (!mResult.isDone()) {
                read();
            }
        }

        private void read() {
            var _ =
                    mStore.read(mTurnId)
                            .whenComplete(
                                    (conversation, failure) -> {
                                        if (failure != null) {
                                            onReadFailed(failure);
                                        } else if (conversation.isPresent()) {
                                            found(conversation.get(), TurnLookup.Source.STORE);
                                        } else {
                                            onAbsent();
                                        }
                                    });
        }

        private void found(Conversation conversation, TurnLookup.Source source) {
            mCache.put(mTurnId, conversation);
            mResult.complete(new TurnLookup.Found(conversation, source));
        }

        private void askPeersEarly() {
            if (!mResult.isDone()) {
                askPeers(answer -> {});
            }
        }

        private void askPeers(Consumer<TurnLookup> onNotFound) {
            var _ =
                    mPeers.find(mTurnId, mRetentionMillis)
                            .thenAccept(
                                    answer -> {
                                        if (answer instanceof TurnLookup.Found found) {
                                            found(found.conversation(), TurnLookup.Source.PEER);
                                        } else {
                                            onNotFound.accept(answer);
                                        }
                                    });
        }

        private void onReadFailed(Throwable failure) {
            if (repeatsAfter(failure, this::readUnlessEnded)) {
                return;
            }
            String reason = readFailure(failure);
            readOtherPartsUnlessEnded(
                    () -> askPeers(answer -> mResult.complete(new TurnLookup.Unavailable(reason))));
        }

        // The store may be unavailable for the turn's usual part only.
        private void readOtherPartsUnlessEnded(Runnable onNotFound) {
            if (mResult.isDone()) {
                return;
            }
            var _ =
                    mStore.readOtherParts(mTurnId)
                            .whenComplete(
                                    (conversation, failure) -> {
                                        if (failure == null && conversation.isPresent()) {
                                            found(conversation.get(), TurnLookup.Source.STORE);
                                        } else {
                                            onNotFound.run();
                                        }
                                    });
        }

        /** Schedules a read again if it was only refused for the store's rate. */
        private boolean repeatsAfter(Throwable failure, Runnable read) {
            boolean repeats =
                    StoreFailures.isOverRate(failure)
                            && mNanoClock.getAsLong() - mBeginNanos < READ_RATE_PATIENCE_NANOS;
            if (repeats) {
                mScheduler.schedule(
                        RateRetry.pauseNanos(mRateRefusals.getAndIncrement(), mRandom), read);
            }
            return repeats;
        }

        private String readFailure(Throwable failure) {
            if (StoreFailures.isStoreFailure(failure)) {
                return reason(failure);
            }
            String reason = String.valueOf(failure.getMessage());
            mListener.onUnreadable(mTurnId, reason);
            return "the turn's rows are unreadable: " + reason;
        }

        // A turn that is not in the store may be held by a host that cannot reach the store.
        private void onAbsent() {
            askPeers(
                    answer -> {
                        if (answer instanceof TurnLookup.NotFound
                                && remembersSince(mRetentionMillis)) {
                            readAgain();
                        } else {
                            mResult.complete(
                                    answer instanceof TurnLookup.Unavailable
                                            ? answer
                                            : new TurnLookup.Unavailable(
                                                    "this host has not run for the retention"
                                                            + " time"));
                        }
                    });
        }

        // A peer may have handed the turn over after the first read and before it was asked.
        private void readAgain() {
            var _ =
                    mStore.read(mTurnId)
                            .whenComplete(
                                    (conversation, failure) -> {
                                        if (failure != null) {
                                            if (repeatsAfter(failure, this::readAgain)) {
                                                return;
                                            }
                                            mResult.complete(
                                                    new TurnLookup.Unavailable(
                                                            readFailure(failure)));
                                        } else if (conversation.isPresent()) {
                                            found(conversation.get(), TurnLookup.Source.STORE);
                                        } else {
                                            mResult.complete(new TurnLookup.NotFound());
                                        }
                                    });
        }
    }
}
