package org.oleandertrack.coordination.lease;

import java.util.concurrent.CompletableFuture;

/** Receives events about the shards of this node, one at a time. Implementations must not block. */
public interface ShardListener {

    /** The node holds the shard from now on, with this fencing number. */
    void onAcquired(int shard, long fence);

    /** The node no longer holds the shard. */
    void onLost(int shard);

    /**
     * The node is about to hand the shard over. It holds the shard until the returned future
     * completes, for example when all running turns of the shard have ended. Until then new work
     * for the shard should be refused.
     */
    default CompletableFuture<Void> onReleasing(int shard) {
        return CompletableFuture.completedFuture(null);
    }
}
