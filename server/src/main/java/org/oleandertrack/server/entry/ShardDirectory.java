package org.oleandertrack.server.entry;

import java.util.Optional;

/** Maps requests to shards and shards to the entry hosts that hold them. Thread safe. */
interface ShardDirectory {

    /** Returns the shard that a request belongs to. */
    int shardOf(CallerRequest request);

    /** Tells whether a request has state that only the holder of its shard may change. */
    default boolean needsHolder(CallerRequest request) {
        return request.program().isPresent() || !request.repeatable();
    }

    /** Tells whether this process holds a shard under a valid lease. */
    boolean isHeldHere(int shard);

    /** Returns the fencing number of a shard that this process holds under a valid lease. */
    Optional<Long> fence(int shard);

    /** Returns the end of this process's lease on the local monotonic clock, in nanoseconds. */
    long leaseEndNanos();

    /** Returns the host that holds a shard; empty if this process knows of none. */
    Optional<String> holder(int shard);
}
