package org.oleandertrack.server.entry;

import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.commit.GroupCommitLimits;
import org.oleandertrack.coordination.lease.LeaseSettings;
import org.oleandertrack.coordination.lease.MemberLease;
import org.oleandertrack.coordination.lease.ShardOwnership;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.coordination.store.ObjectStore;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.server.settings.CommitSettings;
import org.oleandertrack.server.settings.EntrySettings;
import org.oleandertrack.server.settings.ShardSettings;

/** The member lease of this process, its shards and its writes to the store. Thread safe. */
final class EntryCoordination implements ShardRegistry.OwnershipSource {

    private static final int MAX_PENDING_COMMITS = 8_192;

    private final GroupCommit mGroupCommit;
    private final MemberLease mLease;
    private final ShardRegistry mShardRegistry;
    private final ShardOwnership mShardOwnership;

    EntryCoordination(
            EntrySettings settings,
            LocalNode node,
            TableStore table,
            ObjectStore objects,
            Scheduler scheduler,
            LongSupplier nanoClock) {
        SecureRandom random = new SecureRandom();
        mGroupCommit =
                new GroupCommit(
                        table,
                        objects,
                        scheduler,
                        nanoClock,
                        random,
                        commitLimits(settings.commit()),
                        "turns/" + node.node() + "-" + Long.toHexString(node.incarnation()) + "/");
        LeaseSettings leases = leaseSettings(settings.shards());
        mLease =
                new MemberLease(
                        node.node(), table, mGroupCommit, scheduler, nanoClock, random, leases);
        mShardRegistry = new ShardRegistry(settings.shards().count(), this);
        mShardOwnership =
                new ShardOwnership(
                        mLease,
                        table,
                        mGroupCommit,
                        scheduler,
                        nanoClock,
                        random,
                        leases,
                        mShardRegistry);
    }

    // Life-cycle

    void start() {
        mGroupCommit.start();
        mLease.start();
        mShardOwnership.start();
    }

    /** Releases all shards; the future completes when the last call in each has ended. */
    CompletableFuture<Void> releaseShards() {
        return mShardOwnership.stop();
    }

    /** Ends the lease and then the writes to the store; the shards must be released before. */
    CompletableFuture<Void> stop() {
        return mLease.stop().thenCompose(closed -> mGroupCommit.stop());
    }

    // Accessors

    @Override
    public ShardOwnership shardOwnership() {
        return mShardOwnership;
    }

    @Override
    public MemberLease lease() {
        return mLease;
    }

    GroupCommit groupCommit() {
        return mGroupCommit;
    }

    ShardRegistry shardRegistry() {
        return mShardRegistry;
    }

    /** Tells whether the lease is valid and the holders of shards are known. */
    boolean isReady() {
        return mLease.isValid() && mShardOwnership.holder(0).isPresent();
    }

    // Helpers

    private static GroupCommitLimits commitLimits(CommitSettings settings) {
        return GroupCommitLimits.defaults()
                .withCommits(settings.perSecond(), settings.burst())
                .withMaxPending(MAX_PENDING_COMMITS, settings.maxQueuedBytes());
    }

    private static LeaseSettings leaseSettings(ShardSettings settings) {
        LeaseSettings defaults = LeaseSettings.defaults();
        return new LeaseSettings(
                TimeUnit.MILLISECONDS.toNanos(settings.leaseMillis()),
                TimeUnit.MILLISECONDS.toNanos(settings.renewMillis()),
                defaults.minScanNanos(),
                defaults.scansPerSecond(),
                settings.count(),
                defaults.pageRows(),
                defaults.maxHandoversPerScan());
    }
}
