package org.oleandertrack.coordination.stream;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The other hosts that hold origins while the store does not take them. Thread-safe. */
public interface StreamOriginPeers {

    /** Returns the number of known peers, whether they can be reached or not. */
    int peerCount();

    /** Asks some peers for each origin to hold it. */
    void hold(List<RecordedOrigin> origins);

    /** Asks the peers that may hold an origin for it. The future does not fail. */
    CompletableFuture<Optional<StreamOrigin>> find(String requestId);
}
