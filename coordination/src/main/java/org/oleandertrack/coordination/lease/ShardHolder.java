package org.oleandertrack.coordination.lease;

/**
 * The holder of a shard, as last read from the store.
 *
 * @param node node id of the holder
 * @param incarnation incarnation of the holder's lease
 * @param fence fencing number of the claim
 */
public record ShardHolder(String node, long incarnation, long fence) {}
