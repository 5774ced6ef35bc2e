package org.oleandertrack.coordination.lease;

import java.util.concurrent.CompletableFuture;

/** Told about this node's shards, one event at a time. Implementations must not block. */
public interface ShardListener {

    /** The node holds the shard from now on, with this fencing number. */
    void onAcquired(int shard, long fence);

    /** The node no longer holds the shard. */
    void onLost(int shard);

    /**
     * The node is about to give the shard away. It holds the shard until the returned future
     * completes, for example when the turns under way have ended; new work is to be refused.
     */
    default CompletableFuture<Void> onReleasing(int shard) {
        return CompletableFuture.completedFuture(null);
    }
}
