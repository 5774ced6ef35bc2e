package org.oleandertrack.coordination.conversation;

import java.util.concurrent.CompletableFuture;

/** The other hosts that keep conversations. Futures never fail. Thread-safe. */
public interface ConversationPeers {

    /** Returns the number of known peers, whether they can be reached or not. */
    int peerCount();

    /**
     * Asks peers to write a turn to the store; returns whether one of them reports that the store
     * has confirmed it.
     *
     * @param choice number of the part to which the turn is written
     * @param keptMillis time of day at which the turn ended, in milliseconds since the epoch
     */
    CompletableFuture<Boolean> write(KeptTurn turn, int choice, long keptMillis);

    /**
     * Asks the peers for a turn.
     *
     * @return {@link TurnLookup.NotFound} only if all peers have answered and each of them would
     *     know the turn if it were writing it
     */
    CompletableFuture<TurnLookup> find(String turnId, long retentionMillis);
}
