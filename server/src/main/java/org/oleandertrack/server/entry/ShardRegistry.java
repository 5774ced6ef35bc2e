package org.oleandertrack.server.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.lease.MemberLease;
import org.oleandertrack.coordination.lease.ShardHolder;
import org.oleandertrack.coordination.lease.ShardListener;
import org.oleandertrack.coordination.lease.ShardOwnership;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.tinylog.Logger;

/**
 * The shards that this process holds, with their in-memory state. A shard that is being released
 * refuses new calls and stays held until its last call has ended. Thread safe.
 */
final class ShardRegistry implements ShardDirectory, ShardListener {

    private static final long RETRY_AFTER_MILLIS = 500;

    /**
     * Gives access to the shard ownership and the member lease. The ownership takes the registry as
     * its listener, so it is created after the registry.
     */
    interface OwnershipSource {

        ShardOwnership shardOwnership();

        MemberLease lease();
    }

    private final int mShardCount;
    private final OwnershipSource mOwnershipSource;
    private final Map<Integer, HeldShard> mHeldShards = new HashMap<>();

    ShardRegistry(int shardCount, OwnershipSource ownershipSource) {
        mShardCount = shardCount;
        mOwnershipSource = ownershipSource;
    }

    // Listener

    @Override
    public void onAcquired(int shard, long fence) {
        synchronized (mHeldShards) {
            mHeldShards.put(shard, new HeldShard(shard, fence));
        }
        Logger.debug("holding shard {} with fencing number {}", shard, fence);
    }

    @Override
    public void onLost(int shard) {
        synchronized (mHeldShards) {
            mHeldShards.remove(shard);
        }
        Logger.debug("no longer holding shard {}", shard);
    }

    @Override
    public CompletableFuture<Void> onReleasing(int shard) {
        return heldShard(shard)
                .map(HeldShard::release)
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    // Operations

    /**
     * Registers a call in a shard that this process holds under a valid lease. The caller of this
     * method must call {@link HeldShard#exit} when the call has ended.
     *
     * @throws ResultException if the shard is not held or is being released
     */
    HeldShard enter(int shard) {
        OptionalLong fence = mOwnershipSource.shardOwnership().heldFence(shard);
        Optional<HeldShard> held =
                heldShard(shard)
                        .filter(state -> fence.isPresent() && state.fence() == fence.getAsLong())
                        .filter(HeldShard::tryEnter);
        return held.orElseThrow(
                () ->
                        new ResultException(
                                        ResultCode.NOT_SHARD_HOLDER,
                                        "shard " + shard + " is not held here")
                                .withRetryAfterMillis(RETRY_AFTER_MILLIS));
    }

    // Accessors

    @Override
    public int shardOf(CallerRequest request) {
        String name = request.rootProgram().or(request::idempotencyKey).orElse("");
        return shardOf(request.organisation(), name);
    }

    /**
     * Returns the shard to which a program or a call outside any program belongs.
     *
     * @param name id of a root program, or the idempotency key of a call outside any program
     */
    int shardOf(String organisation, String name) {
        return Math.floorMod((organisation + '\n' + name).hashCode(), mShardCount);
    }

    @Override
    public boolean isHeldHere(int shard) {
        return fence(shard).isPresent();
    }

    @Override
    public Optional<Long> fence(int shard) {
        OptionalLong fence = mOwnershipSource.shardOwnership().heldFence(shard);
        return fence.isPresent() ? Optional.of(fence.getAsLong()) : Optional.empty();
    }

    @Override
    public long leaseEndNanos() {
        return mOwnershipSource.lease().leaseEndNanos();
    }

    @Override
    public Optional<String> holder(int shard) {
        return mOwnershipSource.shardOwnership().holder(shard).map(ShardHolder::node);
    }

    /** Returns the shards that this process holds, by number. */
    Map<Integer, HeldShard> heldShards() {
        synchronized (mHeldShards) {
            return Map.copyOf(mHeldShards);
        }
    }

    // Helpers

    private Optional<HeldShard> heldShard(int shard) {
        synchronized (mHeldShards) {
            return Optional.ofNullable(mHeldShards.get(shard));
        }
    }
}
