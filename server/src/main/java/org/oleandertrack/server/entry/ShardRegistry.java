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
 * The shards that this process holds, with their state in memory. A shard that is being released
 * takes no new calls and is given away when its last call has ended. Thread safe.
 */
final class ShardRegistry implements ShardDirectory, ShardListener {

    private static final long RETRY_AFTER_MILLIS = 500;

    /** The ownership and the lease exist only after the listener that they call. */
    interface Ownership {

        ShardOwnership shards();

        MemberLease lease();
    }

    private final int mCount;
    private final Ownership mOwnership;
    private final Map<Integer, HeldShard> mHeld = new HashMap<>();

    ShardRegistry(int count, Ownership ownership) {
        mCount = count;
        mOwnership = ownership;
    }

    // Listener

    @Override
    public void onAcquired(int shard, long fence) {
        synchronized (mHeld) {
            mHeld.put(shard, new HeldShard(shard, fence));
        }
        Logger.debug("holding shard {} with fencing number {}", shard, fence);
    }

    @Override
    public void onLost(int shard) {
        synchronized (mHeld) {
            mHeld.remove(shard);
        }
        Logger.debug("no longer holding shard {}", shard);
    }

    @Override
    public CompletableFuture<Void> onReleasing(int shard) {
        return held(shard)
                .map(HeldShard::release)
                .orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    // Operations

    /**
     * Counts a call into a shard that is held here under a valid lease.
     *
     * @throws ResultException if the shard is not held or is being released
     */
    HeldShard enter(int shard) {
        OptionalLong fence = mOwnership.shards().heldFence(shard);
        Optional<HeldShard> held =
                held(shard)
                        .filter(state -> fence.isPresent() && state.fence() == fence.getAsLong())
                        .filter(HeldShard::enter);
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

    /** Returns the shard of a root program, or of a call without program by its key. */
    int shardOf(String organisation, String name) {
        return Math.floorMod((organisation + '\n' + name).hashCode(), mCount);
    }

    @Override
    public boolean isHeldHere(int shard) {
        return fence(shard).isPresent();
    }

    @Override
    public Optional<Long> fence(int shard) {
        OptionalLong fence = mOwnership.shards().heldFence(shard);
        return fence.isPresent() ? Optional.of(fence.getAsLong()) : Optional.empty();
    }

    @Override
    public long leaseEndNanos() {
        return mOwnership.lease().leaseEndNanos();
    }

    @Override
    public Optional<String> holder(int shard) {
        return mOwnership.shards().holder(shard).map(ShardHolder::node);
    }

    /** Returns the shards held at this moment. */
    Map<Integer, HeldShard> held() {
        synchronized (mHeld) {
            return Map.copyOf(mHeld);
        }
    }

    // Helpers

    private Optional<HeldShard> held(int shard) {
        synchronized (mHeld) {
            return Optional.ofNullable(mHeld.get(shard));
        }
    }
}
