package org.oleandertrack.coordination.lease;

/** State of a node, as stored in its member row. */
public enum MemberState {
    /** The node renews its lease and claims shards. */
    OPEN,
    /** The node renews its lease and hands its shards over to other nodes. */
    LEAVING,
    /** The incarnation in the row holds no shard and never will again. */
    CLOSED
}
