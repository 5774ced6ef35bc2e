package org.oleandertrack.core.fencing;

import java.util.concurrent.ConcurrentHashMap;

/**
 * Remembers the highest fencing number seen for each shard. Thread safe.
 *
 * <p>The table starts empty. A process that has just started is protected by its new incarnation
 * and by the start deadline of each call, which do not need the table.
 */
public final class FenceTable {

    private final ConcurrentHashMap<Integer, Long> mHighest = new ConcurrentHashMap<>();

    /**
     * Records a fencing number and tells whether work under it may start.
     *
     * @return false if a higher number was seen for the shard
     */
    public boolean admit(int shard, long fence) {
        return mHighest.merge(shard, fence, Math::max) == fence;
    }

    /** Returns the highest number seen for a shard, 0 if none. */
    public long highest(int shard) {
        return mHighest.getOrDefault(shard, 0L);
    }
}
