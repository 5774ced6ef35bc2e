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
 * Frees the cached prompt prefixes that the engine holds for programs that have ended, are idle or
 * exceed their share of the cache. A {@link MemoryLedger} decides which prefixes are to be freed
 * and when. It names each program by its cache owner, {@code organisation/program}. Thread safe:
 * one lock guards the ledger, and no request is sent while the lock is held.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The callbacks handle failures themselves.
final class EngineMemoryService implements EngineMemoryTracker {

    /** Limits the concurrent release requests, so that they hardly slow down the engine's calls. */
    private static final int MAX_RELEASES_IN_FLIGHT = 4;

    /**
     * The cache capacity divided by this number is the most that one cache owner may keep; with a
     * larger share, little would be left for other owners.
     */
    private static final int OWNER_SHARE_DIVISOR = 2;

    /** Longest time that {@link #stop} waits for the last releases to be confirmed. */
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final EngineCacheClient mCacheClient;
    private final MemoryLedger mLedger;
    private final FenceTable mFences;
    private final ScheduledExecutorService mTimer;
    private final long mPollMillis;
    private final LongSupplier mNanoClock;
    private final MetricsRegistry mMetrics;

    private final ReentrantLock mLock = new ReentrantLock();
    private final Map<Long, CompletableFuture<Void>> mReleaseFutures = new ConcurrentHashMap<>();
    private final AtomicBoolean mEventReadInProgress = new AtomicBoolean();
    private volatile boolean mCapacityKnown;
    private volatile boolean mLastEventReadFailed;

    // Guarded by mLock.
    private int mReleasesInFlight;
    private long mLoggedDroppedOwners;

    private Optional<ScheduledFuture<?>> mPollTask = Optional.empty();

    EngineMemoryService(
            EngineCacheClient cacheClient,
            MemoryLedger ledger,
            FenceTable fences,
            ScheduledExecutorService timer,
            long pollMillis,
            LongSupplier nanoClock,
            MetricsRegistry metrics) {
        mCacheClient = cacheClient;
        mLedger = ledger;
        mFences = fences;
        mTimer = timer;
        mPollMillis = pollMillis;
        mNanoClock = nanoClock;
        mMetrics = metrics;
    }

    // Life-cycle

    /** Starts the periodic task that reads cache events and sends the releases that are due. */
    void start() {
        mPollTask =
                Optional.of(
                        mTimer.scheduleWithFixedDelay(
                                this::poll, 0, mPollMillis, TimeUnit.MILLISECONDS));
    }

    /** Stops polling, sends all releases that are due and waits briefly for confirmations. */
    void stop() {
        mPollTask.ifPresent(task -> task.cancel(false));
        sendDueReleases(Integer.MAX_VALUE);
        CompletableFuture.allOf(mReleaseFutures.values().toArray(CompletableFuture[]::new))
                .completeOnTimeout(null, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(failure -> null)
                .join();
    }

    // Operations

    @Override
    public void callStarted(Call head) {
        cacheOwner(head.getOrganisation(), head.getProgram())
                .ifPresent(owner -> runLocked(() -> mLedger.recordCallStart(owner, nowNanos())));
    }

    @Override
    public void callEnded(Call head, Usage usage) {
        Optional<String> owner = cacheOwner(head.getOrganisation(), head.getProgram());
        if (owner.isEmpty()) {
            return;
        }
        long tokens = usage.getPromptTokens() + usage.getGeneratedTokens();
        runLocked(
                () -> {
                    mLedger.recordCallEnd(owner.get(), tokens, nowNanos());
                    // The owner is marked as ended even if the program's last call failed. If that
                    // call is retried at this target, the owner counts as in use again.
                    if (head.getEndProgram()) {
                        mLedger.end(owner.get(), ReleaseReason.ENDED, nowNanos());
                    }
                });
        sendDueReleases(MAX_RELEASES_IN_FLIGHT);
    }

    @Override
    public void release(ReleaseMemory request) {
        Optional<String> owner = cacheOwner(request.getOrganisation(), request.getProgram());
        if (owner.isEmpty()) {
            Logger.warn(
                    "ignored a request to free engine memory: it names no organisation or no"
                            + " program");
            return;
        }
        int shard = request.getShard();
        if (request.getFence() != 0 && !mFences.admit(shard, request.getFence())) {
            Logger.info(
                    "refused to free the engine memory of {}: fencing number {} of shard {} is"
                            + " older than {}",
                    owner.get(),
                    request.getFence(),
                    shard,
                    mFences.highest(shard));
            return;
        }
        runLocked(() -> mLedger.end(owner.get(), ReleaseReason.ORDERED, nowNanos()));
        sendDueReleases(MAX_RELEASES_IN_FLIGHT);
    }

    // Helpers

    private void poll() {
        try {
            if (!mCapacityKnown) {
                mCacheClient.fetchCapacityTokens().thenAccept(this::setCapacity);
            }
            readEvents();
            sendDueReleases(MAX_RELEASES_IN_FLIGHT);
            updateHeldTokensMetric();
        } catch (RuntimeException e) {
            // An exception that leaves the task would cancel its further executions.
            Logger.error(e, "polling the engine's cache failed; the next poll retries");
        }
    }

    private void setCapacity(long capacityTokens) {
        if (capacityTokens > 0) {
            runLocked(() -> mLedger.setMaxTokensPerOwner(capacityTokens / OWNER_SHARE_DIVISOR));
            mCapacityKnown = true;
        }
    }

    private void readEvents() {
        if (!mEventReadInProgress.compareAndSet(false, true)) {
            return;
        }
        long after;
        mLock.lock();
        try {
            after = mLedger.lastSequence();
        } finally {
            mLock.unlock();
        }
        mCacheClient
                .fetchEventsAfter(after)
                .whenComplete((events, failure) -> onEventsRead(events, after, failure));
    }

    private void onEventsRead(List<CacheEvent> events, long after, Throwable failure) {
        try {
            if (failure == null) {
                recordEvents(events, after);
            } else if (!mLastEventReadFailed) {
                Logger.warn("cannot read the engine's cache events: {}", failure);
            }
            mLastEventReadFailed = failure != null;
        } finally {
            mEventReadInProgress.set(false);
        }
    }

    private void recordEvents(List<CacheEvent> events, long after) {
        List<CacheEvent> owned =
                events.stream().map(EngineMemoryService::withoutUnownedTokens).toList();
        long missingEvents;
        mLock.lock();
        try {
            missingEvents = mLedger.applyEvents(owned, nowNanos());
            logDroppedOwners();
        } finally {
            mLock.unlock();
        }
        if (missingEvents > 0) {
            Logger.info("{} cache events after sequence number {} were lost", missingEvents, after);
        }
    }

    private void logDroppedOwners() {
        long dropped = mLedger.droppedOwners() - mLoggedDroppedOwners;
        if (dropped > 0) {
            mLoggedDroppedOwners += dropped;
            Logger.warn(
                    "the memory ledger is full: {} cache owners were dropped before their"
                            + " release was confirmed",
                    dropped);
        }
    }

    /**
     * Replaces an event that has no owner by an eviction of 0 tokens, so that the ledger records
     * only its sequence number. Memory of calls outside programs has no owner by which it could be
     * released; the engine evicts it by itself.
     */
    private static CacheEvent withoutUnownedTokens(CacheEvent event) {
        return event.owner().isEmpty()
                ? new CacheEvent(event.sequence(), CacheEvent.Kind.EVICTED, "", 0)
                : event;
    }

    private void sendDueReleases(int maxInFlight) {
        List<Release> due;
        mLock.lock();
        try {
            due = mLedger.takeDue(Math.max(0, maxInFlight - mReleasesInFlight), nowNanos());
            mReleasesInFlight += due.size();
        } finally {
            mLock.unlock();
        }
        due.forEach(this::send);
    }

    private void send(Release release) {
        CompletableFuture<Void> response = mCacheClient.release(release.owner());
        mReleaseFutures.put(release.id(), response);
        response.whenComplete(
                (nothing, failure) -> {
                    mReleaseFutures.remove(release.id());
                    onReleaseResponse(release, failure);
                });
    }

    private void onReleaseResponse(Release release, Throwable failure) {
        if (failure == null) {
            Logger.info(
                    "freed the engine memory of {}: {}; heldTokens={}",
                    release.owner(),
                    release.reason().text(),
                    release.heldTokens());
            completeRelease(() -> mLedger.confirmRelease(release, nowNanos()));
        } else {
            Logger.warn(
                    "release of the engine memory of {} ({}) not confirmed in attempt {}: {}",
                    release.owner(),
                    release.reason().text(),
                    release.attempt(),
                    failure);
            completeRelease(() -> mLedger.recordReleaseFailure(release, nowNanos()));
        }
    }

    private void completeRelease(Runnable change) {
        runLocked(
                () -> {
                    mReleasesInFlight--;
                    change.run();
                });
        sendDueReleases(MAX_RELEASES_IN_FLIGHT);
    }

    private void runLocked(Runnable change) {
        mLock.lock();
        try {
            change.run();
        } finally {
            mLock.unlock();
        }
    }

    /** Called by the poll only, because summing up all owners at each call would cost too much. */
    private void updateHeldTokensMetric() {
        runLocked(() -> mMetrics.gauge(Metric.CACHE_HELD).set((double) mLedger.heldTokens()));
    }

    private long nowNanos() {
        return mNanoClock.getAsLong();
    }

    /**
     * Returns the cache owner that the entry host puts into the requests of a program, {@code
     * organisation/program}; empty for a call outside programs.
     */
    private static Optional<String> cacheOwner(String organisation, String program) {
        return organisation.isEmpty() || program.isEmpty()
                ? Optional.empty()
                : Optional.of(organisation + "/" + program);
    }
}
