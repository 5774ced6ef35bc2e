package org.oleandertrack.core.fencing;

import java.util.concurrent.ConcurrentHashMap;

/**
 * Highest fencing number seen for each shard. Thread-safe.
 *
 * <p>The table is empty when a process starts. Until it fills, calls of former shard holders are
 * rejected by the incarnation and the start deadline that each call carries, neither of which
 * depends on the table.
 */
public final class FenceTable {

    private final ConcurrentHashMap<Integer, Long> mHighest = new ConcurrentHashMap<>();

    /**
     * Records a fencing number and returns whether work with this number may start.
     *
     * @return false if a higher number has been seen for the shard
     */
    public boolean admit(int shard, long fence) {
        return mHighest.merge(shard, fence, Math::max) == fence;
    }

    /** Returns the highest number seen for a shard; 0 if there is none. */
    public long highest(int shard) {
        return mHighest.getOrDefault(shard, 0L);
    }
}
