package org.oleandertrack.protocol;

/** A call sent to a peer. Thread safe. */
public interface OutboundCall {

    /**
     * Tells the peer that the receiver has processed bytes of the response body. The credit goes
     * out once it exceeds half the window.
     *
     * @throws IllegalArgumentException if fewer bytes have been received
     */
    void returnCredit(int bytes);

    /** Asks the peer to stop; the listener receives no further events. */
    void cancel();
}
