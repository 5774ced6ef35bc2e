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

/** Calls in the shards of one process that claims, loses and releases them. */
final class ShardRegistryTest implements ShardRegistry.Ownership {

    private static final int SHARDS = 2;
    private static final long CLAIM_MILLIS = 20_000;

    private final ManualTime mTime = new ManualTime();
    private final ManualStore mStore = new ManualStore();
    private final Random mRandom = new Random(1);
    private final LeaseSettings mSettings = LeaseSettings.defaults().withShards(SHARDS);
    private final GroupCommit mCommit =
            new GroupCommit(
                    mStore,
                    mStore.objects(),
                    mTime,
                    mTime::nanos,
                    mRandom,
                    GroupCommitLimits.defaults(),
                    "turns/n/");
    private final MemberLease mLease =
            new MemberLease("n", mStore, mCommit, mTime, mTime::nanos, mRandom, mSettings);
    private final ShardRegistry mRegistry = new ShardRegistry(SHARDS, this);
    private final ShardOwnership mShards =
            new ShardOwnership(
                    mLease, mStore, mCommit, mTime, mTime::nanos, mRandom, mSettings, mRegistry);

    @BeforeEach
    void claim() {
        mCommit.start();
        mLease.start();
        mShards.start();
        mTime.runMillis(CLAIM_MILLIS);
        assertEquals(SHARDS, mRegistry.held().size());
    }

    @Override
    public ShardOwnership shards() {
        return mShards;
    }

    @Override
    public MemberLease lease() {
        return mLease;
    }

    /** Guards against a stop that gives a shard away while a call of it runs. */
    @Test
    void stopWaitsForTheLastCallOfEachShard() {
        HeldShard shard = mRegistry.enter(0);
        CompletableFuture<Void> stopped = mShards.stop();
        mTime.runMillis(1_000);
        assertRefused(0);
        assertRefused(1);
        assertFalse(stopped.isDone());
        assertTrue(mRegistry.isHeldHere(0));
        assertFalse(mRegistry.isHeldHere(1));

        shard.exit();
        mTime.runMillis(1_000);
        assertTrue(stopped.isDone());
        assertFalse(mRegistry.isHeldHere(0));
        assertTrue(mRegistry.held().isEmpty());
    }

    /** Guards against calls under a lease that has run out without the process noticing. */
    @Test
    void shardUnderAnExpiredLeaseTakesNoCall() {
        var _ = mLease.stop();
        assertRefused(0);
        assertFalse(mRegistry.isHeldHere(0));
    }

    /** Guards against calls in the state of an earlier claim of the same shard. */
    @Test
    void stateOfAnOlderClaimTakesNoCall() {
        long fence = mRegistry.fence(0).orElseThrow();
        mRegistry.onAcquired(0, fence - 1);
        assertRefused(0);
        mRegistry.onAcquired(0, fence);
        assertEquals(fence, mRegistry.enter(0).fence());
    }

    /** Guards against a call in a shard that was lost, and a release of it that never ends. */
    @Test
    void lostShardTakesNoCall() {
        mRegistry.onLost(0);
        assertRefused(0);
        assertTrue(mRegistry.onReleasing(0).isDone());
    }

    /** Guards against sub-agents in another shard than their root, whose budget they share. */
    @Test
    void programsOfOneRootShareTheShard() {
        for (int i = 0; i < 100; i++) {
            int shard = mRegistry.shardOf("org", "p" + i);
            assertTrue(shard >= 0 && shard < SHARDS);
            assertEquals(
                    shard,
                    mRegistry.shardOf("org", CallerRequest.rootOf("p" + i + "/child/other")));
        }
    }

    private void assertRefused(int shard) {
        ResultException refusal = assertThrows(ResultException.class, () -> mRegistry.enter(shard));
        assertEquals(ResultCode.NOT_SHARD_HOLDER, refusal.code());
        assertEquals(Execution.NOT_RUN, refusal.execution());
    }
}
