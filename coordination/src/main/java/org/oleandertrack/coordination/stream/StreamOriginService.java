package org.oleandertrack.coordination.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.RateRetry;
import org.oleandertrack.coordination.store.RowId;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.RowPage;
import org.oleandertrack.coordination.store.RowStore;
import org.oleandertrack.coordination.store.RowTransaction;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.StoreRate;
import org.oleandertrack.coordination.store.StoredRow;

/**
 * Records which service and software version began a stream, and finds it again on any host when
 * the caller takes the stream up, also after the host that began it was killed. Origins are rows of
 * the store; while it does not take them or its rate is short, some peers hold them. Nothing waits
 * for a write: a stream whose origin was not recorded in time is not continued. Thread-safe.
 */
public final class StreamOriginService {

    private static final int MAX_ORIGINS_IN_MEMORY = 20_000;
    // The store answers in 10 to 20 ms. A read whose answer is lost is made again.
    private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    // A caller that takes up a stream should not wait for a store that is away.
    private static final long READ_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    // A peer that answers does so within some milliseconds. It matters only if the store did not
    // take the origin.
    private static final long PEER_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    // Longer than a slow store takes; the caller still has time to begin a new stream.
    private static final long LOOKUP_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    // Searches are this much rarer while the store's rate is short. They are not left out, so that
    // the table does not grow without end.
    private static final int REMOVAL_DELAY_FACTOR = 10;
    // Each part is searched for rows of hosts that are gone about once in this time, by any host.
    private static final long REMOVAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(60);
    // Clocks of hosts differ, and an origin may be written late.
    private static final long REMOVAL_DELAY_MILLIS = 60_000;
    private static final int REMOVAL_PAGE_ROWS = 100;

    private final RowStore mStore;
    private final StoreRate mRate;
    private final SoftwareVersions mVersions;
    private final StreamOriginPeers mPeers;
    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final LongSupplier mEpochMillisClock;
    private final RandomGenerator mRandom;
    private final StreamOriginListener mListener;
    private final OriginMemory mMemory = new OriginMemory(MAX_ORIGINS_IN_MEMORY);
    private final List<String> mParts = OriginRows.parts().toList();
    private final Map<String, OriginWriter> mWriters;
    private final Map<String, String> mNextKeysToSearch = new HashMap<>();
    private long mLastSearchNanos;

    /**
     * Creates a service.
     *
     * @param rate tells when peers hold origins instead of the store
     * @param nanoClock monotonic time, in nanoseconds
     * @param epochMillisClock time of day, in milliseconds since the epoch
     * @param random chooses the parts of the store that are searched for expired origins, and
     *     spreads the repetitions of calls that were refused for the store's rate
     */
    public StreamOriginService(
            RowStore store,
            StoreRate rate,
            SoftwareVersions versions,
            StreamOriginPeers peers,
            Scheduler scheduler,
            LongSupplier nanoClock,
            LongSupplier epochMillisClock,
            RandomGenerator random,
            StreamOriginListener listener) {
        mStore = store;
        mRate = rate;
        mVersions = versions;
        mPeers = peers;
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mEpochMillisClock = epochMillisClock;
        mRandom = random;
        mListener = listener;
        mLastSearchNanos = nanoClock.getAsLong();
        mWriters =
                mParts.stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Function.identity(),
                                        part ->
                                                new OriginWriter(
                                                        store,
                                                        rate,
                                                        peers,
                                                        scheduler,
                                                        nanoClock,
                                                        epochMillisClock,
                                                        random,
                                                        listener)));
    }

    // Operations

    /** Records the origin of a stream whose first event the caller gets. */
    public void record(RecordedOrigin recorded) {
        mMemory.put(recorded, mNanoClock.getAsLong());
        mWriters.get(OriginRows.rowOf(recorded.requestId()).part()).add(recorded);
    }

    /** Holds an origin for a peer whose write the store does not take. */
    public void holdForPeer(RecordedOrigin recorded) {
        mMemory.put(recorded, mNanoClock.getAsLong());
    }

    /** Returns the origin of a stream if this host has it in memory. */
    public Optional<StreamOrigin> findLocally(String requestId) {
        return mMemory.get(requestId, mNanoClock.getAsLong());
    }

    /**
     * Finds the origin of a stream: the recorded one or, if there is none, the only one that
     * streams of its service can have.
     *
     * @param requestId id of the caller's request that brought the first event; empty if the caller
     *     does not name it
     * @return a future that does not fail
     */
    public CompletableFuture<OriginLookup> find(Optional<String> requestId, String service) {
        if (requestId.isEmpty()) {
            return findSole(service, new OriginLookup.NotFound());
        }
        Optional<StreamOrigin> local = findLocally(requestId.get());
        if (local.isPresent()) {
            return CompletableFuture.completedFuture(
                    new OriginLookup.Found(local.get(), OriginLookup.Source.LOCAL));
        }
        Finding finding = new Finding(requestId.get());
        finding.start();
        return finding.mResult.thenCompose(
                result ->
                        result instanceof OriginLookup.Found
                                ? CompletableFuture.completedFuture(result)
                                : findSole(service, result));
    }

    /** Forgets expired origins and removes those of hosts that are gone. Call regularly. */
    public void runMaintenance() {
        mMemory.removeExpired(mNanoClock.getAsLong());
        searchNextPart();
    }

    // Helpers

    private CompletableFuture<OriginLookup> findSole(String service, OriginLookup otherwise) {
        if (otherwise instanceof OriginLookup.Unavailable) {
            return CompletableFuture.completedFuture(otherwise);
        }
        return mVersions
                .findSole(service)
                .thenApply(
                        version ->
                                version.<OriginLookup>map(
                                                sole ->
                                                        new OriginLookup.Found(
                                                                sole,
                                                                OriginLookup.Source.SOLE_VERSION))
                                        .orElse(otherwise))
                .exceptionally(
                        failure ->
                                new OriginLookup.Unavailable(
                                        StoreFailures.asStoreException(failure).getMessage()));
    }

    // Hosts choose parts at random and need not agree, because a removal may be repeated.
    private void searchNextPart() {
        String part;
        Optional<String> fromKey;
        synchronized (this) {
            long nowNanos = mNanoClock.getAsLong();
            long intervalNanos = REMOVAL_INTERVAL_NANOS * (1 + mPeers.peerCount()) / mParts.size();
            if (nowNanos - mLastSearchNanos
                    < intervalNanos * (mRate.isShort() ? REMOVAL_DELAY_FACTOR : 1)) {
                return;
            }
            mLastSearchNanos = nowNanos;
            part = mParts.get(mRandom.nextInt(mParts.size()));
            fromKey = Optional.ofNullable(mNextKeysToSearch.get(part));
        }
        var _ =
                mStore.read(OriginRows.TABLE, part, fromKey, REMOVAL_PAGE_ROWS)
                        .thenCompose(page -> removeExpired(part, page))
                        .exceptionally(
                                failure -> {
                                    mListener.onRemovalFailed(
                                            part,
                                            StoreFailures.asStoreException(failure).getMessage());
                                    return null;
                                });
    }

    private CompletableFuture<Void> removeExpired(String part, RowPage page) {
        synchronized (this) {
            if (page.hasMore()) {
                mNextKeysToSearch.put(part, page.rows().getLast().id().key());
            } else {
                mNextKeysToSearch.remove(part);
            }
        }
        List<RowId> expired =
                page.rows().stream().filter(this::isExpired).map(StoredRow::id).toList();
        return expired.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : mStore.apply(new RowTransaction(List.of(), List.of(), expired))
                        .thenAccept(result -> {});
    }

    // A row of another writer that cannot be decoded is of no use to anybody.
    private boolean isExpired(StoredRow row) {
        return decode(row)
                .map(
                        value ->
                                value.expiresMillis() + REMOVAL_DELAY_MILLIS
                                        < mEpochMillisClock.getAsLong())
                .orElse(true);
    }

    private Optional<OriginRows.Value> decode(StoredRow row) {
        try {
            OriginRows.Value value =
                    RowJson.decode(row.id().toString(), row.value(), OriginRows.Value.class);
            value.toOrigin();
            return Optional.of(value);
        } catch (IllegalStateException | NullPointerException e) {
            mListener.onUnreadable(row.id().key(), String.valueOf(e.getMessage()));
            return Optional.empty();
        }
    }

    /** The search for the origin of one stream that this host does not have in memory. */
    private final class Finding {
        private final String mRequestId;
        private final RowId mRow;
        private final CompletableFuture<OriginLookup> mResult = new CompletableFuture<>();
        private final AtomicBoolean mAskedPeers = new AtomicBoolean();
        private volatile Optional<OriginLookup> mStoreResult = Optional.empty();
        private final AtomicInteger mRateRefusals = new AtomicInteger();
        private volatile boolean mPeersAnswered;
        private volatile String mNoResultReason = "the store does not answer";

        private Finding(String requestId) {
            mRequestId = requestId;
            mRow = OriginRows.rowOf(requestId);
        }

        private void start() {
            mScheduler.schedule(
                    REPEAT_NANOS,
                    () -> {
                        if (mStoreResult.isEmpty() && mRateRefusals.get() == 0) {
                            read();
                        }
                    });
            mScheduler.schedule(READ_PATIENCE_NANOS, this::askPeers);
            mScheduler.schedule(
                    LOOKUP_LIMIT_NANOS,
                    () ->
                            mResult.complete(
                                    mStoreResult.orElse(
                                            new OriginLookup.Unavailable(mNoResultReason))));
            read();
        }

        private void read() {
            var _ =
                    mStore.read(mRow.table(), mRow.part(), Optional.of(mRow.key()), 1)
                            .whenComplete(
                                    (page, failure) -> {
                                        if (StoreFailures.isOverRate(failure)) {
                                            readAfterPause(failure);
                                            return;
                                        }
                                        if (failure != null) {
                                            onStoreResult(
                                                    new OriginLookup.Unavailable(
                                                            StoreFailures.asStoreException(failure)
                                                                    .getMessage()));
                                            return;
                                        }
                                        onStoreResult(
                                                page.rows().stream()
                                                        .filter(row -> row.id().equals(mRow))
                                                        .findFirst()
                                                        .flatMap(StreamOriginService.this::decode)
                                                        .<OriginLookup>map(this::found)
                                                        .orElse(new OriginLookup.NotFound()));
                                    });
        }

        private void readAfterPause(Throwable failure) {
            mNoResultReason = StoreFailures.asStoreException(failure).getMessage();
            askPeers();
            mScheduler.schedule(
                    RateRetry.pauseNanos(mRateRefusals.getAndIncrement(), mRandom),
                    () -> {
                        if (!mResult.isDone()) {
                            read();
                        }
                    });
        }

        private OriginLookup found(OriginRows.Value value) {
            return new OriginLookup.Found(value.toOrigin(), OriginLookup.Source.STORE);
        }

        private void onStoreResult(OriginLookup result) {
            if (result instanceof OriginLookup.Found) {
                mResult.complete(result);
                return;
            }
            mStoreResult = Optional.of(result);
            askPeers();
            endIfAllAnswered();
            if (result instanceof OriginLookup.NotFound) {
                mScheduler.schedule(PEER_PATIENCE_NANOS, () -> mResult.complete(result));
            }
        }

        private void askPeers() {
            if (mResult.isDone() || !mAskedPeers.compareAndSet(false, true)) {
                return;
            }
            var _ = mPeers.find(mRequestId).thenAccept(this::onPeersAnswered);
        }

        private void onPeersAnswered(Optional<StreamOrigin> origin) {
            origin.ifPresent(
                    found ->
                            mResult.complete(
                                    new OriginLookup.Found(found, OriginLookup.Source.PEER)));
            mPeersAnswered = true;
            endIfAllAnswered();
        }

        private void endIfAllAnswered() {
            if (mPeersAnswered) {
                mStoreResult.ifPresent(mResult::complete);
            }
        }
    }
}
