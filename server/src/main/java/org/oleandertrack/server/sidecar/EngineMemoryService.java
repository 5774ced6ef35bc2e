package org.oleandertrack.server.sidecar;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import org.oleandertrack.core.fencing.FenceTable;
import org.oleandertrack.core.ledger.CacheEvent;
import org.oleandertrack.core.ledger.MemoryLedger;
import org.oleandertrack.core.ledger.Release;
import org.oleandertrack.core.ledger.ReleaseReason;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.ReleaseMemory;
import org.oleandertrack.protocol.message.Usage;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;
import org.tinylog.Logger;

/**
 * Has the engine free the memory of programs that ended, by the decisions of a {@link
 * MemoryLedger}. Thread safe: the ledger is guarded by one lock, under which nothing is sent.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The callbacks handle failures themselves.
final class EngineMemoryService implements EngineMemory {

    /** Releases on their way at once, so that they take little of the engine from calls. */
    private static final int MAX_IN_FLIGHT = 4;

    /** One owner may hold this part of the cache; with more, little would be left for others. */
    private static final int SHARE_DIVISOR = 2;

    /** Time that a stop waits for the last releases. */
    private static final long STOP_MILLIS = 2_000;

    private final EngineCacheClient mEngine;
    private final MemoryLedger mLedger;
    private final FenceTable mFences;
    private final ScheduledExecutorService mTimer;
    private final long mPollMillis;
    private final LongSupplier mNanoClock;
    private final MetricsRegistry mMetrics;

    private final ReentrantLock mLock = new ReentrantLock();
    private final Map<Long, CompletableFuture<Void>> mInFlight = new ConcurrentHashMap<>();
    private final AtomicBoolean mReading = new AtomicBoolean();
    private volatile boolean mShareKnown;
    private volatile boolean mReadFailed;

    // Guarded by mLock.
    private int mReleasesUnderWay;
    private long mDroppedOwnersLogged;

    private Optional<ScheduledFuture<?>> mPolling = Optional.empty();

    EngineMemoryService(
            EngineCacheClient engine,
            MemoryLedger ledger,
            FenceTable fences,
            ScheduledExecutorService timer,
            long pollMillis,
            LongSupplier nanoClock,
            MetricsRegistry metrics) {
        mEngine = engine;
        mLedger = ledger;
        mFences = fences;
        mTimer = timer;
        mPollMillis = pollMillis;
        mNanoClock = nanoClock;
        mMetrics = metrics;
    }

    // Life-cycle

    /** Starts to read events and to send releases. */
    void start() {
        mPolling =
                Optional.of(
                        mTimer.scheduleWithFixedDelay(
                                this::poll, 0, mPollMillis, TimeUnit.MILLISECONDS));
    }

    /** Sends the releases that are due and waits for a short time for their confirmation. */
    void stop() {
        mPolling.ifPresent(polling -> polling.cancel(false));
        sendDue(Integer.MAX_VALUE);
        CompletableFuture.allOf(mInFlight.values().toArray(CompletableFuture[]::new))
                .completeOnTimeout(null, STOP_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(failure -> null)
                .join();
    }

    // Operations

    @Override
    public void callStarted(Call head) {
        owner(head.getOrganisation(), head.getProgram())
                .ifPresent(owner -> locked(() -> mLedger.callStarted(owner, now())));
    }

    @Override
    public void callEnded(Call head, Usage usage) {
        Optional<String> owner = owner(head.getOrganisation(), head.getProgram());
        if (owner.isEmpty()) {
            return;
        }
        long tokens = usage.getPromptTokens() + usage.getGeneratedTokens();
        locked(
                () -> {
                    mLedger.callEnded(owner.get(), tokens, now());
                    // A failed last call ends its owner as well: if it is repeated here, it counts
                    // as in use again.
                    if (head.getEndProgram()) {
                        mLedger.end(owner.get(), ReleaseReason.ENDED, now());
                    }
                });
        sendDue(MAX_IN_FLIGHT);
    }

    @Override
    public void release(ReleaseMemory order) {
        Optional<String> owner = owner(order.getOrganisation(), order.getProgram());
        if (owner.isEmpty()) {
            Logger.warn("ignored an order to free engine memory that names no program");
            return;
        }
        int shard = order.getShard();
        if (order.getFence() != 0 && !mFences.admit(shard, order.getFence())) {
            Logger.info(
                    "refused to free the engine memory of {}: fencing number {} of shard {} is"
                            + " older than {}",
                    owner.get(),
                    order.getFence(),
                    shard,
                    mFences.highest(shard));
            return;
        }
        locked(() -> mLedger.end(owner.get(), ReleaseReason.ORDERED, now()));
        sendDue(MAX_IN_FLIGHT);
    }

    // Helpers

    private void poll() {
        try {
            if (!mShareKnown) {
                mEngine.capacityTokens().thenAccept(this::setCapacity);
            }
            readEvents();
            sendDue(MAX_IN_FLIGHT);
            updateMetric();
        } catch (RuntimeException e) {
            // Without this, the timer would not run the task again.
            Logger.error(e, "the poll of the engine's cache failed");
        }
    }

    private void setCapacity(long capacityTokens) {
        if (capacityTokens > 0) {
            locked(() -> mLedger.setShareTokens(capacityTokens / SHARE_DIVISOR));
            mShareKnown = true;
        }
    }

    private void readEvents() {
        if (!mReading.compareAndSet(false, true)) {
            return;
        }
        long after;
        mLock.lock();
        try {
            after = mLedger.lastSequence();
        } finally {
            mLock.unlock();
        }
        mEngine.eventsAfter(after)
                .whenComplete((events, failure) -> onRead(events, after, failure));
    }

    private void onRead(List<CacheEvent> events, long after, Throwable failure) {
        try {
            if (failure == null) {
                onEvents(events, after);
            } else if (!mReadFailed) {
                Logger.warn("cannot read the engine's cache events: {}", failure);
            }
            mReadFailed = failure != null;
        } finally {
            mReading.set(false);
        }
    }

    private void onEvents(List<CacheEvent> events, long after) {
        List<CacheEvent> owned = events.stream().map(EngineMemoryService::withoutUnowned).toList();
        long missing;
        mLock.lock();
        try {
            missing = mLedger.eventsRead(owned, now());
            logDroppedOwners();
        } finally {
            mLock.unlock();
        }
        if (missing > 0) {
            Logger.info("{} cache events after number {} were lost", missing, after);
        }
    }

    private void logDroppedOwners() {
        long dropped = mLedger.droppedOwners() - mDroppedOwnersLogged;
        if (dropped > 0) {
            mDroppedOwnersLogged += dropped;
            Logger.warn(
                    "the ledger is full: {} owners were dropped before their release was"
                            + " confirmed",
                    dropped);
        }
    }

    /**
     * Keeps only the number of an event without owner. Memory of calls outside programs cannot be
     * released by owner; the engine evicts it by itself.
     */
    private static CacheEvent withoutUnowned(CacheEvent event) {
        return event.owner().isEmpty()
                ? new CacheEvent(event.sequence(), CacheEvent.Kind.EVICTED, "", 0)
                : event;
    }

    private void sendDue(int maxUnderWay) {
        List<Release> due;
        mLock.lock();
        try {
            due = mLedger.takeDue(Math.max(0, maxUnderWay - mReleasesUnderWay), now());
            mReleasesUnderWay += due.size();
        } finally {
            mLock.unlock();
        }
        due.forEach(this::send);
    }

    private void send(Release release) {
        CompletableFuture<Void> answer = mEngine.release(release.owner());
        mInFlight.put(release.id(), answer);
        answer.whenComplete(
                (nothing, failure) -> {
                    mInFlight.remove(release.id());
                    onAnswer(release, failure);
                });
    }

    private void onAnswer(Release release, Throwable failure) {
        if (failure == null) {
            Logger.info(
                    "freed the engine memory of {}: {}; heldTokens={}",
                    release.owner(),
                    release.reason().text(),
                    release.heldTokens());
            answered(() -> mLedger.releaseConfirmed(release, now()));
        } else {
            Logger.warn(
                    "release of the engine memory of {} ({}) not confirmed in attempt {}: {}",
                    release.owner(),
                    release.reason().text(),
                    release.attempt(),
                    failure);
            answered(() -> mLedger.releaseFailed(release, now()));
        }
    }

    private void answered(Runnable change) {
        locked(
                () -> {
                    mReleasesUnderWay--;
                    change.run();
                });
        sendDue(MAX_IN_FLIGHT);
    }

    private void locked(Runnable change) {
        mLock.lock();
        try {
            change.run();
        } finally {
            mLock.unlock();
        }
    }

    /** Summing up all owners is too much work for each call, so only the poll does it. */
    private void updateMetric() {
        locked(() -> mMetrics.gauge(Metric.CACHE_HELD).set((double) mLedger.heldTokens()));
    }

    private long now() {
        return mNanoClock.getAsLong();
    }

    /** Returns the owner under which the entry host has the engine account the prefix. */
    private static Optional<String> owner(String organisation, String program) {
        return organisation.isEmpty() || program.isEmpty()
                ? Optional.empty()
                : Optional.of(organisation + "/" + program);
    }
}
