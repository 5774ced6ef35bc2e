package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.coordination.commit.GroupCommit;
import org.oleandertrack.coordination.commit.GroupCommitLimits;
import org.oleandertrack.coordination.lease.LeaseSettings;
import org.oleandertrack.coordination.lease.MemberLease;
import org.oleandertrack.coordination.lease.ShardOwnership;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Tests which calls are admitted to shards that a process acquires, loses and releases. */
final class ShardRegistryTest implements ShardRegistry.OwnershipSource {

    private static final int SHARD_COUNT = 2;
    private static final long ACQUISITION_MILLIS = 20_000;

    private final ManualTime mTime = new ManualTime();
    private final InMemoryStore mStore = new InMemoryStore();
    private final Random mRandom = new Random(1);
    private final LeaseSettings mSettings = LeaseSettings.defaults().withShards(SHARD_COUNT);
    private final GroupCommit mCommit =
            new GroupCommit(
                    mStore,
                    mStore.objects(),
                    mTime,
                    mTime::nowNanos,
                    mRandom,
                    GroupCommitLimits.defaults(),
                    "turns/n/");
    private final MemberLease mLease =
            new MemberLease("n", mStore, mCommit, mTime, mTime::nowNanos, mRandom, mSettings);
    private final ShardRegistry mShardRegistry = new ShardRegistry(SHARD_COUNT, this);
    private final ShardOwnership mShardOwnership =
            new ShardOwnership(
                    mLease,
                    mStore,
                    mCommit,
                    mTime,
                    mTime::nowNanos,
                    mRandom,
                    mSettings,
                    mShardRegistry);

    @BeforeEach
    void acquireShards() {
        mCommit.start();
        mLease.start();
        mShardOwnership.start();
        mTime.advanceMillis(ACQUISITION_MILLIS);
        assertEquals(SHARD_COUNT, mShardRegistry.heldShards().size());
    }

    @Override
    public ShardOwnership shardOwnership() {
        return mShardOwnership;
    }

    @Override
    public MemberLease lease() {
        return mLease;
    }

    /** Guards against a shutdown that releases a shard while one of its calls is running. */
    @Test
    void shutdownWaitsForTheLastCallOfEachShard() {
        HeldShard shard = mShardRegistry.enter(0);
        CompletableFuture<Void> stopped = mShardOwnership.stop();
        mTime.advanceMillis(1_000);
        assertRefused(0);
        assertRefused(1);
        assertFalse(stopped.isDone());
        assertTrue(mShardRegistry.isHeldHere(0));
        assertFalse(mShardRegistry.isHeldHere(1));

        shard.exit();
        mTime.advanceMillis(1_000);
        assertTrue(stopped.isDone());
        assertFalse(mShardRegistry.isHeldHere(0));
        assertTrue(mShardRegistry.heldShards().isEmpty());
    }

    /** Guards against calls in a shard whose lease is no longer valid. */
    @Test
    void shardUnderAnEndedLeaseRefusesCalls() {
        var _ = mLease.stop();
        assertRefused(0);
        assertFalse(mShardRegistry.isHeldHere(0));
    }

    /** Guards against calls that use the state of an earlier acquisition of the same shard. */
    @Test
    void stateOfAnEarlierAcquisitionRefusesCalls() {
        long fence = mShardRegistry.fence(0).orElseThrow();
        mShardRegistry.onAcquired(0, fence - 1);
        assertRefused(0);
        mShardRegistry.onAcquired(0, fence);
        assertEquals(fence, mShardRegistry.enter(0).fence());
    }

    /** Guards against a call in a lost shard, and a release of it that never completes. */
    @Test
    void lostShardRefusesCalls() {
        mShardRegistry.onLost(0);
        assertRefused(0);
        assertTrue(mShardRegistry.onReleasing(0).isDone());
    }

    /** Guards against sub-agents in another shard than their root program and its budget. */
    @Test
    void programsOfOneRootShareTheShard() {
        for (int i = 0; i < 100; i++) {
            int shard = mShardRegistry.shardOf("org", "p" + i);
            assertTrue(shard >= 0 && shard < SHARD_COUNT);
            assertEquals(
                    shard,
                    mShardRegistry.shardOf("org", CallerRequest.rootOf("p" + i + "/child/other")));
        }
    }

    private void assertRefused(int shard) {
        ResultException refusal =
                assertThrows(ResultException.class, () -> mShardRegistry.enter(shard));
        assertEquals(ResultCode.NOT_SHARD_HOLDER, refusal.code());
        assertEquals(Execution.NOT_RUN, refusal.execution());
    }
}
