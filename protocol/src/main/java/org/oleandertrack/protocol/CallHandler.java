package org.oleandertrack.protocol;

/** Receives calls from peers. Called on an I/O thread; implementations must not block. */
public interface CallHandler {

    /** Handles a call whose body has arrived in full. */
    void onCall(InboundCall call);
}
