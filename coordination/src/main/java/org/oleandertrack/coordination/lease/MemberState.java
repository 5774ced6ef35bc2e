package org.oleandertrack.coordination.lease;

/** What a member row says of its node. */
public enum MemberState {
    /** The node renews its lease and takes shards. */
    OPEN,
    /** The node renews its lease and gives its shards away. */
    LEAVING,
    /** The incarnation in the row holds nothing and never will again. */
    CLOSED
}
