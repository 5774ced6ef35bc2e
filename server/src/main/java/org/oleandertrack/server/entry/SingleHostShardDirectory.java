package org.oleandertrack.server.entry;

import java.util.Optional;

/** All shards are held by this process. */
final class SingleHostShardDirectory implements ShardDirectory {

    private final int mCount;

    SingleHostShardDirectory(int count) {
        mCount = count;
    }

    @Override
    public int shardOf(CallerRequest request) {
        return Math.floorMod(request.shardKey().hashCode(), mCount);
    }

    @Override
    public boolean isHeldHere(int shard) {
        return true;
    }

    @Override
    public Optional<Long> fence(int shard) {
        return Optional.of(1L);
    }

    @Override
    public long leaseEndNanos() {
        return Long.MAX_VALUE;
    }

    @Override
    public Optional<String> holder(int shard) {
        return Optional.empty();
    }
}
