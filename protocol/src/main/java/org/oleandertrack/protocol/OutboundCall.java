package org.oleandertrack.protocol;

/** A call sent to a peer. Thread safe. */
public interface OutboundCall {

    /**
     * Returns flow-control credit for response body bytes that the caller has processed. Credit is
     * accumulated and sent to the peer once it exceeds half the response window.
     *
     * @param bytes number of bytes processed since the previous call of this method
     * @throws IllegalArgumentException if {@code bytes} is negative or exceeds the received bytes
     *     that have not been passed to this method yet
     */
    void returnCredit(int bytes);

    /** Cancels the call at the peer. The listener receives no further events. */
    void cancel();
}
