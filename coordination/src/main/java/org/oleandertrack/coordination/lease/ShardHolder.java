package org.oleandertrack.coordination.lease;

/**
 * Who holds a shard, as last read from the store.
 *
 * @param node the holder's node id
 * @param incarnation incarnation of the holder's lease
 * @param fence fencing number of the claim
 */
public record ShardHolder(String node, long incarnation, long fence) {}
