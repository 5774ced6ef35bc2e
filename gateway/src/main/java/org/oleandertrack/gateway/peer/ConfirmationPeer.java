package org.oleandertrack.gateway.peer;

import java.util.concurrent.CompletableFuture;

/** A peer that is asked for its knowledge of the configuration. */
interface ConfirmationPeer {

    /** Returns the version in force at the peer, and how old its knowledge of it is. */
    CompletableFuture<PeerMessages.ConfigurationAge> configurationAge(
            PeerMessages.AskConfigurationAge message);

    /** Returns the configuration in force at the peer. */
    CompletableFuture<PeerMessages.ConfigurationRow> readConfiguration(
            PeerMessages.ReadConfiguration message);
}
