package org.oleandertrack.coordination.conversation;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.RateRetry;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.core.result.Execution;

/**
 * Keeps the turns of conversations and finds them by id. A turn is kept once the store has
 * confirmed it, to this host or to a peer; the memory of hosts is only a cache. Thread-safe.
 */
public final class ConversationService {

    /** Table with the rows of kept turns. */
    public static final String TURN_TABLE = ConversationRows.TURN_TABLE;

    /** Table with one row for each kept turn, by the time when it may be removed. */
    public static final String DUE_TABLE = ConversationRows.DUE_TABLE;

    // The store answers in 10 to 20 ms. A call whose answer is lost stays open until its timeout;
    // after this time it is made again.
    private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    // A caller's next turn should not wait for a store that is away if a peer has the turn.
    private static final long READ_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    // Less than the timeout of a call between hosts, after which this host would count as silent.
    private static final long PEER_WRITE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    // A read that is refused for the store's rate is repeated for this long.
    private static final long READ_RATE_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
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
    private final OpenWrites mOpenWrites;
    private final long mStartNanos;
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
        mOpenWrites = new OpenWrites(limits.repeatedWriteBytes());
        mStartNanos = nanoClock.getAsLong();
        mLastSearchNanos = mStartNanos;
    }

    // Operations

    /** Keeps a turn that has generated its last event. The future never fails. */
    public CompletableFuture<KeepResult> keep(KeptTurn turn) {
        KeepOperation operation =
                new KeepOperation(
                        turn,
                        mStore,
                        mRate,
                        mPeers,
                        mScheduler,
                        mNanoClock,
                        mRandom,
                        mOpenWrites,
                        mEpochMillisClock.getAsLong());
        return operation
                .start()
                .whenComplete(
                        (result, failure) -> {
                            if (result instanceof KeepResult.Kept) {
                                mCache.put(turn.turnId(), turn.conversation());
                            }
                        });
    }

    /**
     * Writes a turn of a peer that cannot reach the store; the future fails if the store does not
     * confirm it in time.
     *
     * @param choice number of the part to which the turn is written
     * @param keptMillis time of day at which the turn ended, in milliseconds since the epoch
     */
    public CompletableFuture<StoreReceipt> writeForPeer(
            KeptTurn turn, int choice, long keptMillis) {
        CompletableFuture<StoreReceipt> result = new CompletableFuture<>();
        mScheduler.schedule(
                PEER_WRITE_LIMIT_NANOS,
                () ->
                        result.completeExceptionally(
                                new StoreException(
                                        Execution.UNKNOWN,
                                        "the store has not answered in time",
                                        null)));
        var _ =
                mStore.write(turn, Math.floorMod(choice, ConversationRows.PART_CHOICES), keptMillis)
                        .whenComplete(
                                (receipt, failure) -> {
                                    if (failure != null) {
                                        result.completeExceptionally(failure);
                                        return;
                                    }
                                    mCache.put(turn.turnId(), turn.conversation());
                                    result.complete(receipt);
                                });
        return result;
    }

    /**
     * Forgets this host's copy of a turn whose response did not end whole, so that the conversation
     * continues from another try of the same turn, if there is one.
     */
    public void forget(String turnId) {
        mCache.remove(turnId);
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

    /** Returns a conversation that this host has in memory. */
    public Optional<Conversation> findLocally(String turnId) {
        return mCache.get(turnId);
    }

    /** Returns whether this host has run for the given time, in milliseconds. */
    public boolean remembersSince(long retentionMillis) {
        return mNanoClock.getAsLong() - mStartNanos
                >= TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    }

    /** Removes expired turns from the store. Call regularly. */
    public void runMaintenance() {
        searchNextPart();
    }

    // Helpers

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

        // A write of the turn may be on its way, at this host's peers too.
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

        // The turn may have been written after the first read and before the peers were asked.
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
