package org.oleandertrack.server.entry;

import java.util.Optional;

/** Tells which entry host holds which shard. Thread safe. */
interface ShardDirectory {

    /** Returns the shard that a request belongs to. */
    int shardOf(CallerRequest request);

    /** Tells whether a request has state that only the holder of its shard may touch. */
    default boolean needsHolder(CallerRequest request) {
        return request.program().isPresent() || !request.repeatable();
    }

    /** Tells whether this process holds a shard under a valid lease. */
    boolean isHeldHere(int shard);

    /** Returns this process's fencing number of a shard, if it holds it under a valid lease. */
    Optional<Long> fence(int shard);

    /** Returns the end of the lease on the local monotonic clock. */
    long leaseEndNanos();

    /** Returns the node that holds a shard, as far as this process knows. */
    Optional<String> holder(int shard);
}
