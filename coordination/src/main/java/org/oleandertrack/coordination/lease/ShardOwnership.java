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
 * claimed again: an earlier release of unknown outcome may still take effect on the row as it is.
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
    private static final class Held {
        private final long mIncarnation;
        private final long mFence;
        private long mVersion;
        private Phase mPhase = Phase.CLAIMING;
        // Whether the listener was told that the node holds the shard.
        private boolean mAnnounced;

        private Held(long incarnation, long fence) {
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
    private final Map<Integer, Held> mHeld = new HashMap<>();
    private final ArrayDeque<Runnable> mEvents = new ArrayDeque<>();
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
            for (Map.Entry<Integer, Held> entry : mHeld.entrySet()) {
                if (entry.getValue().mPhase == Phase.HELD) {
                    drain(entry.getKey(), entry.getValue());
                }
            }
        }
        var _ = mLease.markLeaving();
        deliver();
        completeStop();
        return mStopped;
    }

    // Accessors.

    /**
     * Returns the fencing number of a shard; empty if this node does not hold it at this moment.
     */
    public OptionalLong heldFence(int shard) {
        synchronized (mLock) {
            Held held = mHeld.get(shard);
            boolean holds =
                    held != null
                            && (held.mPhase == Phase.HELD || held.mPhase == Phase.DRAINING)
                            && mLease.isValid(held.mIncarnation);
            return holds ? OptionalLong.of(held.mFence) : OptionalLong.empty();
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
    public void checkNow() {
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
        int page = mSettings.pageRows();
        var _ =
                TableScans.all(mTable, ShardRow.PREFIX, "", page)
                        .thenCompose(
                                shards -> {
                                    long sentNanos = mNanoClock.getAsLong();
                                    return TableScans.all(mTable, MemberRow.PREFIX, "", page)
                                            .thenAccept(
                                                    members -> onScan(shards, members, sentNanos));
                                })
                        .whenComplete((done, failure) -> onScanEnded(failure));
    }

    private void onScan(List<Row> shards, List<Row> members, long sentNanos) {
        synchronized (mLock) {
            mView.takeShards(shards);
            mView.takeMembers(
                    members, sentNanos, mNanoClock.getAsLong(), mSettings.leaseNanos() / 3);
            dropReplaced();
        }
        closeExpired();
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
                mView.interrupted();
            }
            mScanning = false;
            if (!mStopping) {
                mNextScan = mScheduler.schedule(scanIntervalNanos(), this::scan);
            }
        }
    }

    private long scanIntervalNanos() {
        // Each scan reads all shard rows and all member rows, which count as two.
        long shareNanos = mView.liveCount() * 2_000_000_000L / mSettings.scansPerSecond();
        long interval = Math.max(mSettings.minScanNanos(), shareNanos);
        return interval - mRandom.nextLong(interval / 10 + 1);
    }

    /** Removes held shards whose rows another node has written since. */
    private void dropReplaced() {
        List<Integer> replaced = new ArrayList<>();
        mHeld.forEach(
                (shard, held) -> {
                    Optional<ClusterView.Shard> row = mView.shard(shard);
                    if (held.mPhase == Phase.HELD
                            && row.isPresent()
                            && row.get().version() > held.mVersion) {
                        replaced.add(shard);
                    }
                });
        for (int shard : replaced) {
            announceLost(shard, mHeld.remove(shard));
        }
    }

    // Helpers: takeover.

    private void closeExpired() {
        if (!mLease.isValid()) {
            return;
        }
        List<String> expired;
        synchronized (mLock) {
            expired = mView.expiredMembers();
        }
        for (String node : expired) {
            if (!node.equals(mLease.node())) {
                close(node);
            }
        }
    }

    // If the write fails or conflicts, the next scan shows whether the row must still be closed.
    private void close(String node) {
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
            int moves = 0;
            for (int shard = 0; shard < mSettings.shards() && !mStopping; shard++) {
                Optional<String> desired = mView.desired(shard);
                boolean desiredHere = desired.isPresent() && desired.get().equals(mLease.node());
                Held held = mHeld.get(shard);
                if (held == null && desiredHere && claimable(shard, incarnation)) {
                    writes.add(claim(shard, incarnation));
                } else if (held != null
                        && held.mPhase == Phase.HELD
                        && !desiredHere
                        && desired.isPresent()
                        && mView.provenLive(desired.get())
                        && moves < mSettings.maxMovesPerScan()) {
                    moves++;
                    drain(shard, held);
                } else if (held == null && !desiredHere && namesThisNode(shard, incarnation)) {
                    writes.add(releaseUnheld(shard, incarnation));
                }
            }
        }
        writes.forEach(Runnable::run);
        deliver();
    }

    private boolean claimable(int shard, long incarnation) {
        return mView.holder(shard).isEmpty() || namesThisNode(shard, incarnation);
    }

    private boolean namesThisNode(int shard, long incarnation) {
        Optional<ShardHolder> holder = mView.holder(shard);
        return holder.isPresent()
                && holder.get().node().equals(mLease.node())
                && holder.get().incarnation() == incarnation;
    }

    private Runnable claim(int shard, long incarnation) {
        Optional<ClusterView.Shard> before = mView.shard(shard);
        long version = before.map(ClusterView.Shard::version).orElse(0L);
        long fence = before.map(known -> known.row().fence()).orElse(0L) + 1;
        ShardRow row = new ShardRow(mLease.node(), incarnation, fence, mWriteIds.next());
        Held held = new Held(incarnation, fence);
        mHeld.put(shard, held);
        return () -> {
            var _ =
                    submit(write(shard, version, row))
                            .whenComplete((result, failure) -> onClaimed(shard, held, row, result));
        };
    }

    /** Handles the reply to a claim; the result is null if the store did not confirm the write. */
    private void onClaimed(int shard, Held held, ShardRow row, CommitResult result) {
        synchronized (mLock) {
            if (result != null
                    && result.outcomes().getFirst() instanceof WriteOutcome.Applied applied) {
                held.mVersion = applied.version();
                held.mPhase = Phase.HELD;
                mView.putShard(shard, applied.version(), row);
                announceHeld();
                if (mStopping) {
                    drain(shard, held);
                }
            } else {
                mHeld.remove(shard);
            }
        }
        deliver();
        completeStop();
    }

    // Helpers: release.

    private void drain(int shard, Held held) {
        held.mPhase = Phase.DRAINING;
        mEvents.add(
                () -> {
                    var _ =
                            mListener
                                    .onReleasing(shard)
                                    .whenComplete((done, failure) -> release(shard, held));
                });
    }

    private void release(int shard, Held held) {
        synchronized (mLock) {
            held.mPhase = Phase.RELEASING;
            announceLost(shard, held);
        }
        deliver();
        ShardRow row = new ShardRow("", 0, held.mFence, mWriteIds.next());
        var _ =
                submit(write(shard, held.mVersion, row))
                        .whenComplete(
                                (result, failure) -> {
                                    onReleased(shard, row, result);
                                    synchronized (mLock) {
                                        mHeld.remove(shard, held);
                                    }
                                    completeStop();
                                });
    }

    /** Releases a shard whose row names this node although the node does not hold the shard. */
    private Runnable releaseUnheld(int shard, long incarnation) {
        ClusterView.Shard known = mView.shard(shard).orElseThrow();
        Held held = new Held(incarnation, known.row().fence());
        held.mVersion = known.version();
        held.mPhase = Phase.RELEASING;
        mHeld.put(shard, held);
        return () -> release(shard, held);
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
            if (!mStopping || !mHeld.isEmpty()) {
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
            announceHeld();
        }
        deliver();
    }

    /**
     * Queues the events that tell the listener of shards acquired or lost by a change of the lease,
     * and removes the shards held by former incarnations.
     */
    private void announceHeld() {
        long incarnation = mLease.incarnation();
        mHeld.entrySet()
                .removeIf(
                        entry -> {
                            Held held = entry.getValue();
                            boolean replaced = held.mIncarnation != incarnation;
                            if (!mLease.isValid(held.mIncarnation)) {
                                announceLost(entry.getKey(), held);
                            } else if (held.mPhase == Phase.HELD && !held.mAnnounced) {
                                held.mAnnounced = true;
                                mEvents.add(
                                        () -> mListener.onAcquired(entry.getKey(), held.mFence));
                            }
                            return replaced && held.mPhase == Phase.HELD;
                        });
    }

    private void announceLost(int shard, Held held) {
        if (held.mAnnounced) {
            held.mAnnounced = false;
            mEvents.add(() -> mListener.onLost(shard));
        }
    }

    private void deliver() {
        while (true) {
            Runnable event;
            synchronized (mLock) {
                if (mDelivering || mEvents.isEmpty()) {
                    return;
                }
                mDelivering = true;
                event = mEvents.poll();
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
