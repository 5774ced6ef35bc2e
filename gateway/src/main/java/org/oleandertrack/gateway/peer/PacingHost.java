package org.oleandertrack.gateway.peer;

/** A host that issues the permits for requests to a target. */
sealed interface PacingHost {

    /** This host. */
    record Own() implements PacingHost {}

    /** A peer. */
    record Peer(PeerClient client) implements PacingHost {}
}
