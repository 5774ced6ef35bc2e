package org.oleandertrack.protocol;

/** A call sent to a peer. Thread safe. */
public interface OutboundCall {

    /** Tells the peer that the receiver has processed bytes of the response body. */
    void consumed(int bytes);

    /** Asks the peer to stop; the listener receives no further events. */
    void cancel();
}
