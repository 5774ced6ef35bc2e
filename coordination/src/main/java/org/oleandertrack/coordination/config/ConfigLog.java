package org.oleandertrack.coordination.config;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleandertrack.coordination.commit.CommitResult;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.TableScans;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.WriteOutcome;
import org.oleandertrack.core.result.Execution;
import org.tinylog.Logger;

/**
 * The log of configuration changes: reads it from the store and from peers, and appends to it.
 *
 * <p>A process applies a change only if it directly follows its own version, and a snapshot only if
 * it is newer, so its configuration never reverts. The row of version v is created on condition
 * that it is absent, by a process that is at version v - 1, so the log has no gaps.
 *
 * <p>Thread safe. Listeners are called without locks held, in the order of the versions.
 */
public final class ConfigLog {

    private final TableStore mTable;
    private final SnapshotStore mSnapshots;
    private final GroupCommit mCommit;
    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final RandomGenerator mRandom;
    private final ConfigSettings mSettings;
    private final IntSupplier mPollerCount;
    private final ConfigReplica mReplica;
    private final Consumer<ConfigChange> mListener;

    private final Object mLock = new Object();
    // The latest changes without gaps; the last one has the current version.
    private final ArrayDeque<ConfigChange> mRecentChanges = new ArrayDeque<>();
    private final ArrayDeque<ConfigChange> mUndelivered = new ArrayDeque<>();
    private boolean mDelivering;
    private boolean mRunning;
    private boolean mSnapshotLoaded;
    private boolean mConfirmed;
    private long mConfirmedNanos;
    private long mVersion;
    private Scheduler.Timer mNextPoll = () -> {};

    /**
     * Creates a log at version 0.
     *
     * @param table used for reads; must end every request in limited time, see {@code
     *     TimeLimitedTableStore}
     * @param pollerCount returns the number of processes of the zone that poll, including this one
     * @param replica the configuration, to which the log applies changes and snapshots
     * @param listener receives each new change, but not the changes that a snapshot contains
     */
    public ConfigLog(
            TableStore table,
            SnapshotStore snapshots,
            GroupCommit commit,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random,
            ConfigSettings settings,
            IntSupplier pollerCount,
            ConfigReplica replica,
            Consumer<ConfigChange> listener) {
        mTable = table;
        mSnapshots = snapshots;
        mCommit = commit;
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mRandom = random;
        mSettings = settings;
        mPollerCount = pollerCount;
        mReplica = replica;
        mListener = listener;
    }

    // Life-cycle.

    /** Loads the latest snapshot and starts to poll. */
    public void start() {
        synchronized (mLock) {
            mRunning = true;
        }
        poll();
    }

    /** Stops polling. */
    public void stop() {
        synchronized (mLock) {
            mRunning = false;
            mNextPoll.cancel();
        }
    }

    // Accessors.

    /** Returns the version of the last change that was applied; 0 if there is none. */
    public long version() {
        synchronized (mLock) {
            return mVersion;
        }
    }

    /**
     * Returns the time in milliseconds since the store or a peer last confirmed that this process
     * had every accepted change; {@code Long.MAX_VALUE} if that was never confirmed.
     */
    public long confirmedAgeMillis() {
        synchronized (mLock) {
            if (!mConfirmed) {
                return Long.MAX_VALUE;
            }
            return Math.ceilDiv(mNanoClock.getAsLong() - mConfirmedNanos, 1_000_000L);
        }
    }

    /**
     * Returns the changes after a version; empty if some of them are not kept in memory any more.
     */
    public Optional<List<ConfigChange>> changesAfter(long version) {
        synchronized (mLock) {
            if (version < mVersion - mRecentChanges.size()) {
                return Optional.empty();
            }
            return Optional.of(
                    mRecentChanges.stream().filter(change -> change.version() > version).toList());
        }
    }

    /** Returns the current state, for a peer that lacks changes which are not kept in memory. */
    public ConfigSnapshot snapshot() {
        synchronized (mLock) {
            return new ConfigSnapshot(mVersion, mReplica.encode());
        }
    }

    // Operations.

    /**
     * Appends a change.
     *
     * @param replacedVersion version that the change replaces
     * @param command command of the operator
     * @param operator name of the operator who issued the command
     * @param changeId id of the change; a repetition after an unknown outcome has the same id, and
     *     is recognised if the change is among the latest {@code keptChanges}
     * @param deadlineNanos nano clock reading at which an unconfirmed write fails
     * @return the outcome; the future fails with {@link StoreException} only if the change was not
     *     made
     */
    public CompletableFuture<AppendOutcome> append(
            long replacedVersion,
            String command,
            String operator,
            String changeId,
            long deadlineNanos) {
        CompletableFuture<Void> upToDate =
                replacedVersion > version()
                        ? StoreFailures.failAsNotRun(readChanges())
                        : CompletableFuture.completedFuture(null);
        return upToDate.thenCompose(done -> StoreFailures.failAsNotRun(readEarlierChanges()))
                .thenCompose(
                        done -> {
                            Optional<AppendOutcome> decided =
                                    decideWithoutWrite(replacedVersion, changeId);
                            if (decided.isPresent()) {
                                return CompletableFuture.completedFuture(decided.get());
                            }
                            return writeChange(
                                    new ConfigChange(
                                            replacedVersion + 1, command, operator, changeId),
                                    deadlineNanos);
                        });
    }

    /** Applies changes that a peer sent; a change that does not follow this version is ignored. */
    public void offerChanges(List<ConfigChange> changes) {
        synchronized (mLock) {
            changes.forEach(this::applyNext);
        }
        deliverChanges();
    }

    /** Applies a snapshot if it is newer than the version of this process. */
    public void offerSnapshot(ConfigSnapshot snapshot) {
        synchronized (mLock) {
            if (snapshot.version() > mVersion) {
                mReplica.restore(snapshot);
                mVersion = snapshot.version();
                mRecentChanges.clear();
            }
        }
    }

    /**
     * Handles a message of a peer about its version. If this process has that version, the peer's
     * confirmation holds for this process too.
     *
     * @param version version of the peer
     * @param ageMillis the peer's {@link #confirmedAgeMillis} plus the longest time that the
     *     message may have taken
     * @return whether the peer has changes that this process lacks
     */
    public boolean onPeerVersion(long version, long ageMillis) {
        synchronized (mLock) {
            // This process has every change of the peer, which had every change that was accepted
            // when its version was confirmed. The age of an unconfirmed version is Long.MAX_VALUE.
            if (version <= mVersion && ageMillis < Long.MAX_VALUE / 2_000_000) {
                confirm(mNanoClock.getAsLong() - ageMillis * 1_000_000L);
            }
            return version > mVersion;
        }
    }

    // Helpers: reading.

    private void poll() {
        boolean load;
        synchronized (mLock) {
            if (!mRunning) {
                return;
            }
            load = !mSnapshotLoaded;
        }
        CompletableFuture<Void> loaded =
                load ? loadSnapshot() : CompletableFuture.completedFuture(null);
        var _ =
                loaded.thenCompose(done -> readChanges())
                        .thenCompose(done -> mSnapshots.writePending())
                        .whenComplete((done, failure) -> onPolled(failure));
    }

    private void onPolled(Throwable failure) {
        if (failure != null && StoreFailures.isStoreFailure(failure)) {
            Logger.debug("poll of the configuration failed: {}", failure.toString());
        } else if (failure != null) {
            Logger.error(failure, "configuration cannot be read or applied; polling again");
        }
        synchronized (mLock) {
            if (mRunning) {
                long intervalNanos =
                        mSettings.zonePollNanos() * Math.max(1, mPollerCount.getAsInt());
                long jitterNanos = mRandom.nextLong(intervalNanos / 10 + 1);
                mNextPoll = mScheduler.schedule(intervalNanos - jitterNanos, this::poll);
            }
        }
    }

    private CompletableFuture<Void> loadSnapshot() {
        return mSnapshots
                .load()
                .thenAccept(
                        found -> {
                            found.ifPresent(this::offerSnapshot);
                            synchronized (mLock) {
                                mSnapshotLoaded = true;
                            }
                        });
    }

    private CompletableFuture<Void> readChanges() {
        long sentNanos = mNanoClock.getAsLong();
        String after = ConfigChange.key(version());
        return TableScans.all(mTable, ConfigChange.PREFIX, after, mSettings.pageRows())
                .thenAccept(rows -> onRead(rows, sentNanos));
    }

    private void onRead(List<Row> rows, long sentNanos) {
        List<ConfigChange> changes =
                rows.stream().map(row -> RowJson.decode(row, ConfigChange.class)).toList();
        synchronized (mLock) {
            changes.forEach(this::applyNext);
            // The store had no newer change when the read was sent.
            if (changes.isEmpty() || changes.getLast().version() == mVersion) {
                confirm(sentNanos);
            }
        }
        deliverChanges();
    }

    private void confirm(long atNanos) {
        if (!mConfirmed || atNanos - mConfirmedNanos > 0) {
            mConfirmed = true;
            mConfirmedNanos = atNanos;
        }
    }

    /** Applies a change if it directly follows the current version. */
    private void applyNext(ConfigChange change) {
        if (change.version() != mVersion + 1) {
            return;
        }
        mVersion = change.version();
        mReplica.apply(change);
        mRecentChanges.add(change);
        if (mRecentChanges.size() > mSettings.keptChanges()) {
            mRecentChanges.poll();
        }
        mUndelivered.add(change);
        if (mVersion % mSettings.snapshotVersions() == 0) {
            mSnapshots.offer(new ConfigSnapshot(mVersion, mReplica.encode()));
        }
    }

    // Helpers: appending.

    /** Returns the outcome of an append that needs no write; empty if the change can be written. */
    private Optional<AppendOutcome> decideWithoutWrite(long replacedVersion, String changeId) {
        synchronized (mLock) {
            for (ConfigChange change : mRecentChanges) {
                if (change.changeId().equals(changeId)) {
                    return Optional.of(new AppendOutcome.Accepted(change.version()));
                }
            }
            return replacedVersion == mVersion
                    ? Optional.empty()
                    : Optional.of(new AppendOutcome.Conflict(mVersion));
        }
    }

    /**
     * Reads those of the latest changes that are not in memory because a snapshot contained them.
     * Their ids must be known before an append. Otherwise a change that is repeated after an
     * unknown outcome could be made twice.
     */
    private CompletableFuture<Void> readEarlierChanges() {
        long after;
        synchronized (mLock) {
            if (mRecentChanges.size() >= Math.min(mVersion, mSettings.keptChanges())) {
                return CompletableFuture.completedFuture(null);
            }
            after = Math.max(0, mVersion - mSettings.keptChanges());
        }
        return TableScans.all(
                        mTable, ConfigChange.PREFIX, ConfigChange.key(after), mSettings.pageRows())
                .thenAccept(
                        rows -> {
                            synchronized (mLock) {
                                rows.reversed().forEach(this::prependEarlier);
                            }
                        });
    }

    private void prependEarlier(Row row) {
        ConfigChange change = RowJson.decode(row, ConfigChange.class);
        if (change.version() == mVersion - mRecentChanges.size()
                && mRecentChanges.size() < mSettings.keptChanges()) {
            mRecentChanges.addFirst(change);
        }
    }

    private CompletableFuture<AppendOutcome> writeChange(ConfigChange change, long deadlineNanos) {
        ConditionalWrite write =
                ConditionalWrite.create(ConfigChange.key(change.version()), RowJson.encode(change));
        return mCommit.submit(List.of(write), deadlineNanos)
                .thenCompose(result -> onCreated(change, result))
                .exceptionallyCompose(
                        failure ->
                                StoreFailures.executionOf(failure) == Execution.NOT_RUN
                                        ? CompletableFuture.failedFuture(
                                                StoreFailures.asStoreException(failure))
                                        : CompletableFuture.completedFuture(
                                                new AppendOutcome.Unknown()));
    }

    private CompletableFuture<AppendOutcome> onCreated(ConfigChange change, CommitResult result) {
        if (result.outcomes().getFirst() instanceof WriteOutcome.Applied) {
            offerChanges(List.of(change));
            return CompletableFuture.completedFuture(new AppendOutcome.Accepted(change.version()));
        }
        return mTable.get(ConfigChange.key(change.version()))
                .handle((found, readFailure) -> onConflict(change, found, readFailure));
    }

    /**
     * Returns the outcome after a conflict. The row found may contain this same change, if another
     * process has written it.
     */
    private AppendOutcome onConflict(
            ConfigChange change, Optional<Row> found, Throwable readFailure) {
        if (readFailure != null || found.isEmpty()) {
            return new AppendOutcome.Unknown();
        }
        ConfigChange existing = RowJson.decode(found.get(), ConfigChange.class);
        offerChanges(List.of(existing));
        return existing.changeId().equals(change.changeId())
                ? new AppendOutcome.Accepted(existing.version())
                : new AppendOutcome.Conflict(Math.max(existing.version(), version()));
    }

    private void deliverChanges() {
        while (true) {
            ConfigChange change;
            synchronized (mLock) {
                if (mDelivering || mUndelivered.isEmpty()) {
                    return;
                }
                mDelivering = true;
                change = mUndelivered.poll();
            }
            try {
                mListener.accept(change);
            } catch (RuntimeException e) {
                Logger.error(e, "listener failed on configuration version {}", change.version());
            } finally {
                synchronized (mLock) {
                    mDelivering = false;
                }
            }
        }
    }
}
