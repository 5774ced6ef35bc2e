package org.oleandertrack.coordination.relay;

/** Receives the direct calls to the store that failed, by cause. Called on any thread. */
public interface StoreRefusalListener {

    /** The store refused a call because it takes no more calls at this rate. */
    void onOverRate(String reason);

    /** The store rejected a call and would reject it again. */
    void onRejected(String reason);

    /** The store did not answer a call, or failed for another reason. */
    void onUnavailable(String reason);
}
