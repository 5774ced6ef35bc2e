package org.oleandertrack.coordination.conversation;

import java.util.concurrent.CompletableFuture;

/** The other hosts that keep conversations. Futures never fail. Thread-safe. */
public interface ConversationPeers {

    /** Returns the number of known peers, whether they can be reached or not. */
    int peerCount();

    /** Asks some peers to hold a turn until the store has it; returns how many of them do. */
    CompletableFuture<Integer> hold(KeptTurn turn);

    /**
     * Asks the peers for a turn.
     *
     * @return {@link TurnLookup.NotFound} only if all peers have answered and each of them would
     *     know the turn if it held it
     */
    CompletableFuture<TurnLookup> find(String turnId, long retentionMillis);
}
