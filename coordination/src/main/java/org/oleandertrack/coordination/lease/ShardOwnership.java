package org.oleandertrack.coordination.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleandertrack.coordination.commit.CommitResult;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.RowJson;
import org.oleandertrack.coordination.store.StoreFailures;
import org.oleandertrack.coordination.store.TableScans;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.WriteIds;
import org.oleandertrack.coordination.store.WriteOutcome;
import org.tinylog.Logger;

/**
 * Claims shards under the node's member lease, takes over the shards of dead nodes, hands shards
 * over to spread them evenly, and finds the holder of a shard.
 *
 * <p>A shard is acquired only by a confirmed conditional write with a fencing number one higher
 * than before. If a shard row names this node but the node does not hold the shard, the shard is
 * claimed again with a new write, because an earlier release of unknown outcome could still take
 * effect while the row is unchanged.
 *
 * <p>Thread safe. The listener is called without locks held, one event at a time.
 */
public final class ShardOwnership {

    private enum Phase {
        CLAIMING,
        HELD,
        DRAINING,
        RELEASING
    }

    /** A shard that this node is claiming, holds or is handing over. */
    private static final class OwnedShard {
        private final long mIncarnation;
        private final long mFence;
        private long mRowVersion;
        private Phase mPhase = Phase.CLAIMING;
        // Whether the listener was told that the node holds the shard.
        private boolean mAnnounced;

        private OwnedShard(long incarnation, long fence) {
            mIncarnation = incarnation;
            mFence = fence;
        }
    }

    private final MemberLease mLease;
    private final TableStore mTable;
    private final GroupCommit mCommit;
    private final Scheduler mScheduler;
    private final LongSupplier mNanoClock;
    private final RandomGenerator mRandom;
    private final WriteIds mWriteIds;
    private final LeaseSettings mSettings;
    private final ShardListener mListener;

    private final Object mLock = new Object();
    private final ClusterView mView = new ClusterView();
    private final Map<Integer, OwnedShard> mOwnedShards = new HashMap<>();
    private final ArrayDeque<Runnable> mListenerEvents = new ArrayDeque<>();
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();
    private Scheduler.Timer mNextScan = () -> {};
    private boolean mDelivering;
    private boolean mStarted;
    private boolean mStopping;
    private boolean mScanning;

    /**
     * Creates an instance for a node that holds no shards.
     *
     * @param lease the node's lease, started and stopped by the caller
     * @param table used for scans; must end every request in limited time, see {@code
     *     TimeLimitedTableStore}
     */
    public ShardOwnership(
            MemberLease lease,
            TableStore table,
            GroupCommit commit,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random,
            LeaseSettings settings,
            ShardListener listener) {
        mLease = lease;
        mTable = table;
        mCommit = commit;
        mScheduler = scheduler;
        mNanoClock = nanoClock;
        mRandom = random;
        mWriteIds = new WriteIds(random);
        mSettings = settings;
        mListener = listener;
        lease.addListener(this::onLeaseChanged);
    }

    // Life-cycle.

    /** Starts scans and claims. */
    public void start() {
        synchronized (mLock) {
            mStarted = true;
        }
        scan();
    }

    /**
     * Marks the node as leaving and hands its shards over. The future completes when the node holds
     * no shard any more; only then may the lease be stopped.
     */
    public CompletableFuture<Void> stop() {
        synchronized (mLock) {
            mStopping = true;
            mNextScan.cancel();
            for (Map.Entry<Integer, OwnedShard> entry : mOwnedShards.entrySet()) {
                if (entry.getValue().mPhase == Phase.HELD) {
                    startDraining(entry.getKey(), entry.getValue());
                }
            }
        }
        var _ = mLease.markLeaving();
        deliverEvents();
        completeStop();
        return mStopped;
    }

    // Accessors.

    /**
     * Returns the fencing number of a shard; empty if this node does not hold it at this moment.
     */
    public OptionalLong heldFence(int shard) {
        synchronized (mLock) {
            OwnedShard owned = mOwnedShards.get(shard);
            boolean holds =
                    owned != null
                            && (owned.mPhase == Phase.HELD || owned.mPhase == Phase.DRAINING)
                            && mLease.isValid(owned.mIncarnation);
            return holds ? OptionalLong.of(owned.mFence) : OptionalLong.empty();
        }
    }

    /** Returns the holder of a shard as of the latest scan; it may have changed since. */
    public Optional<ShardHolder> holder(int shard) {
        synchronized (mLock) {
            return mView.holder(shard);
        }
    }

    // Operations.

    /** Schedules a scan without delay, for example when another node announces that it leaves. */
    public void scanNow() {
        synchronized (mLock) {
            if (!mStarted || mStopping || mScanning) {
                return;
            }
            mNextScan.cancel();
            mNextScan = mScheduler.schedule(0, this::scan);
        }
    }

    // Helpers: scans.

    private void scan() {
        synchronized (mLock) {
            if (mStopping || mScanning) {
                return;
            }
            mScanning = true;
        }
        int pageRows = mSettings.pageRows();
        var _ =
                TableScans.all(mTable, ShardRow.PREFIX, "", pageRows)
                        .thenCompose(
                                shards -> {
                                    long sentNanos = mNanoClock.getAsLong();
                                    return TableScans.all(mTable, MemberRow.PREFIX, "", pageRows)
                                            .thenAccept(
                                                    members -> onScan(shards, members, sentNanos));
                                })
                        .whenComplete((done, failure) -> onScanEnded(failure));
    }

    private void onScan(List<Row> shards, List<Row> members, long sentNanos) {
        synchronized (mLock) {
            mView.updateShards(shards);
            mView.updateMembers(
                    members, sentNanos, mNanoClock.getAsLong(), mSettings.leaseNanos() / 3);
            dropReplacedShards();
        }
        closeExpiredLeases();
        claimAndRelease();
    }

    private void onScanEnded(Throwable failure) {
        if (failure != null && StoreFailures.isStoreFailure(failure)) {
            Logger.debug("scan of members and shards failed: {}", failure.toString());
        } else if (failure != null) {
            Logger.error(failure, "scan of members and shards failed unexpectedly; scanning again");
        }
        synchronized (mLock) {
            if (failure != null) {
                mView.onScanFailed();
            }
            mScanning = false;
            if (!mStopping) {
                mNextScan = mScheduler.schedule(scanIntervalNanos(), this::scan);
            }
        }
    }

    private long scanIntervalNanos() {
        // Each scan counts as two of the reads that are limited: one of all shard rows and one of
        // all member rows.
        long shareNanos = mView.liveNodeCount() * 2_000_000_000L / mSettings.scansPerSecond();
        long intervalNanos = Math.max(mSettings.minScanNanos(), shareNanos);
        return intervalNanos - mRandom.nextLong(intervalNanos / 10 + 1);
    }

    /** Removes held shards whose rows another node has written after this node claimed them. */
    private void dropReplacedShards() {
        List<Integer> replaced = new ArrayList<>();
        mOwnedShards.forEach(
                (shard, owned) -> {
                    Optional<ClusterView.VersionedShardRow> row = mView.shardRow(shard);
                    if (owned.mPhase == Phase.HELD
                            && row.isPresent()
                            && row.get().version() > owned.mRowVersion) {
                        replaced.add(shard);
                    }
                });
        for (int shard : replaced) {
            queueLostEvent(shard, mOwnedShards.remove(shard));
        }
    }

    // Helpers: takeover.

    private void closeExpiredLeases() {
        if (!mLease.isValid()) {
            return;
        }
        List<String> expired;
        synchronized (mLock) {
            expired = mView.expiredNodes();
        }
        for (String node : expired) {
            if (!node.equals(mLease.node())) {
                closeLease(node);
            }
        }
    }

    // If the write fails or conflicts, the next scan shows whether the row must still be closed.
    private void closeLease(String node) {
        MemberRow closed;
        long version;
        synchronized (mLock) {
            closed = mView.memberRow(node).closed(mWriteIds.next());
            version = mView.memberVersion(node);
        }
        ConditionalWrite write =
                ConditionalWrite.replace(MemberRow.key(node), version, RowJson.encode(closed));
        var _ =
                submit(write)
                        .thenAccept(
                                result -> {
                                    if (result.outcomes().getFirst()
                                            instanceof WriteOutcome.Applied applied) {
                                        Logger.info("closed the expired lease of node {}", node);
                                        synchronized (mLock) {
                                            mView.putMember(node, applied.version(), closed);
                                        }
                                        claimAndRelease();
                                    }
                                });
    }

    private void claimAndRelease() {
        List<Runnable> writes = new ArrayList<>();
        long incarnation = mLease.incarnation();
        if (!mLease.isValid(incarnation)) {
            return;
        }
        synchronized (mLock) {
            int handovers = 0;
            for (int shard = 0; shard < mSettings.shards() && !mStopping; shard++) {
                Optional<String> assigned = mView.assignedNode(shard);
                boolean isAssignedHere =
                        assigned.isPresent() && assigned.get().equals(mLease.node());
                OwnedShard owned = mOwnedShards.get(shard);
                if (owned == null && isAssignedHere && isClaimable(shard, incarnation)) {
                    writes.add(prepareClaim(shard, incarnation));
                } else if (owned != null
                        && owned.mPhase == Phase.HELD
                        && !isAssignedHere
                        && assigned.isPresent()
                        && mView.wasSeenRenewing(assigned.get())
                        && handovers < mSettings.maxHandoversPerScan()) {
                    handovers++;
                    startDraining(shard, owned);
                } else if (owned == null
                        && !isAssignedHere
                        && rowNamesThisNode(shard, incarnation)) {
                    writes.add(prepareReleaseOfUnheld(shard, incarnation));
                }
            }
        }
        writes.forEach(Runnable::run);
        deliverEvents();
    }

    private boolean isClaimable(int shard, long incarnation) {
        return mView.holder(shard).isEmpty() || rowNamesThisNode(shard, incarnation);
    }

    private boolean rowNamesThisNode(int shard, long incarnation) {
        Optional<ShardHolder> holder = mView.holder(shard);
        return holder.isPresent()
                && holder.get().node().equals(mLease.node())
                && holder.get().incarnation() == incarnation;
    }

    private Runnable prepareClaim(int shard, long incarnation) {
        Optional<ClusterView.VersionedShardRow> before = mView.shardRow(shard);
        long version = before.map(ClusterView.VersionedShardRow::version).orElse(0L);
        long fence = before.map(known -> known.row().fence()).orElse(0L) + 1;
        ShardRow row = new ShardRow(mLease.node(), incarnation, fence, mWriteIds.next());
        OwnedShard owned = new OwnedShard(incarnation, fence);
        mOwnedShards.put(shard, owned);
        return () -> {
            var _ =
                    submit(write(shard, version, row))
                            .whenComplete(
                                    (result, failure) -> onClaimed(shard, owned, row, result));
        };
    }

    /** Handles the reply to a claim; the result is null if the store did not confirm the write. */
    private void onClaimed(int shard, OwnedShard owned, ShardRow row, CommitResult result) {
        synchronized (mLock) {
            if (result != null
                    && result.outcomes().getFirst() instanceof WriteOutcome.Applied applied) {
                owned.mRowVersion = applied.version();
                owned.mPhase = Phase.HELD;
                mView.putShard(shard, applied.version(), row);
                queueLeaseEvents();
                if (mStopping) {
                    startDraining(shard, owned);
                }
            } else {
                mOwnedShards.remove(shard);
            }
        }
        deliverEvents();
        completeStop();
    }

    // Helpers: release.

    private void startDraining(int shard, OwnedShard owned) {
        owned.mPhase = Phase.DRAINING;
        mListenerEvents.add(
                () -> {
                    var _ =
                            mListener
                                    .onReleasing(shard)
                                    .whenComplete((done, failure) -> release(shard, owned));
                });
    }

    private void release(int shard, OwnedShard owned) {
        synchronized (mLock) {
            owned.mPhase = Phase.RELEASING;
            queueLostEvent(shard, owned);
        }
        deliverEvents();
        ShardRow row = new ShardRow("", 0, owned.mFence, mWriteIds.next());
        var _ =
                submit(write(shard, owned.mRowVersion, row))
                        .whenComplete(
                                (result, failure) -> {
                                    onReleased(shard, row, result);
                                    synchronized (mLock) {
                                        mOwnedShards.remove(shard, owned);
                                    }
                                    completeStop();
                                });
    }

    /** Returns the release of a shard whose row names this node although it does not hold it. */
    private Runnable prepareReleaseOfUnheld(int shard, long incarnation) {
        ClusterView.VersionedShardRow known = mView.shardRow(shard).orElseThrow();
        OwnedShard owned = new OwnedShard(incarnation, known.row().fence());
        owned.mRowVersion = known.version();
        owned.mPhase = Phase.RELEASING;
        mOwnedShards.put(shard, owned);
        return () -> release(shard, owned);
    }

    private void onReleased(int shard, ShardRow row, CommitResult result) {
        if (result != null
                && result.outcomes().getFirst() instanceof WriteOutcome.Applied applied) {
            synchronized (mLock) {
                mView.putShard(shard, applied.version(), row);
            }
        }
    }

    private void completeStop() {
        synchronized (mLock) {
            if (!mStopping || !mOwnedShards.isEmpty()) {
                return;
            }
        }
        mStopped.complete(null);
    }

    // Helpers: writes and events.

    private static ConditionalWrite write(int shard, long version, ShardRow row) {
        return new ConditionalWrite(ShardRow.key(shard), version, Optional.of(RowJson.encode(row)));
    }

    private CompletableFuture<CommitResult> submit(ConditionalWrite write) {
        return mCommit.submit(List.of(write), mNanoClock.getAsLong() + mSettings.renewNanos());
    }

    private void onLeaseChanged() {
        synchronized (mLock) {
            queueLeaseEvents();
        }
        deliverEvents();
    }

    /**
     * Queues the events that tell the listener of shards acquired or lost by a change of the lease,
     * and removes the shards held by former incarnations.
     */
    private void queueLeaseEvents() {
        long incarnation = mLease.incarnation();
        mOwnedShards
                .entrySet()
                .removeIf(
                        entry -> {
                            OwnedShard owned = entry.getValue();
                            boolean replaced = owned.mIncarnation != incarnation;
                            if (!mLease.isValid(owned.mIncarnation)) {
                                queueLostEvent(entry.getKey(), owned);
                            } else if (owned.mPhase == Phase.HELD && !owned.mAnnounced) {
                                owned.mAnnounced = true;
                                mListenerEvents.add(
                                        () -> mListener.onAcquired(entry.getKey(), owned.mFence));
                            }
                            return replaced && owned.mPhase == Phase.HELD;
                        });
    }

    private void queueLostEvent(int shard, OwnedShard owned) {
        if (owned.mAnnounced) {
            owned.mAnnounced = false;
            mListenerEvents.add(() -> mListener.onLost(shard));
        }
    }

    private void deliverEvents() {
        while (true) {
            Runnable event;
            synchronized (mLock) {
                if (mDelivering || mListenerEvents.isEmpty()) {
                    return;
                }
                mDelivering = true;
                event = mListenerEvents.poll();
            }
            try {
                event.run();
            } catch (RuntimeException e) {
                Logger.error(e, "shard listener failed; continuing with the next event");
            } finally {
                synchronized (mLock) {
                    mDelivering = false;
                }
            }
        }
    }
}
