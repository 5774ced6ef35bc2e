/**
 * Member leases and the ownership of shards.
 *
 * <p>A node is a process of an entry host that registers itself under a node id. An incarnation of
 * a node, identified by a random number, ends with the process or when the node's lease is closed.
 * A shard is a fixed subset of all programs, and at most one node holds it at a time. The fence of
 * a shard is its fencing number, which rises with each claim, so that writes of former holders can
 * be rejected.
 */
package org.oleandertrack.coordination.lease;
