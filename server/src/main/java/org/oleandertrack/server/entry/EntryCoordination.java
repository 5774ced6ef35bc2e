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

/** This process's lease, its shards and its writes to the store. Thread safe. */
final class EntryCoordination implements ShardRegistry.Ownership {

    private static final int MAX_PENDING_COMMITS = 8_192;

    private final GroupCommit mCommit;
    private final MemberLease mLease;
    private final ShardRegistry mRegistry;
    private final ShardOwnership mShards;

    EntryCoordination(
            EntrySettings settings,
            LocalNode node,
            TableStore table,
            ObjectStore objects,
            Scheduler scheduler,
            LongSupplier nanoClock) {
        SecureRandom random = new SecureRandom();
        mCommit =
                new GroupCommit(
                        table,
                        objects,
                        scheduler,
                        nanoClock,
                        random,
                        commitLimits(settings.commit()),
                        "turns/" + node.node() + "-" + Long.toHexString(node.incarnation()) + "/");
        LeaseSettings leases = leaseSettings(settings.shards());
        mLease = new MemberLease(node.node(), table, mCommit, scheduler, nanoClock, random, leases);
        mRegistry = new ShardRegistry(settings.shards().count(), this);
        mShards =
                new ShardOwnership(
                        mLease, table, mCommit, scheduler, nanoClock, random, leases, mRegistry);
    }

    // Life-cycle

    void start() {
        mCommit.start();
        mLease.start();
        mShards.start();
    }

    /** Gives the shards away; the future completes when the last call of each has ended. */
    CompletableFuture<Void> releaseShards() {
        return mShards.stop();
    }

    /** Gives the lease up and ends the writes, after the shards were given away. */
    CompletableFuture<Void> stop() {
        return mLease.stop().thenCompose(closed -> mCommit.stop());
    }

    // Accessors

    @Override
    public ShardOwnership shards() {
        return mShards;
    }

    @Override
    public MemberLease lease() {
        return mLease;
    }

    GroupCommit commit() {
        return mCommit;
    }

    ShardRegistry registry() {
        return mRegistry;
    }

    /** Tells whether the lease is valid and shards are known, so that work can be taken. */
    boolean isReady() {
        return mLease.isValid() && mShards.holder(0).isPresent();
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
                defaults.maxMovesPerScan());
    }
}
