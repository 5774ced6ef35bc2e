package org.oleandertrack.coordination.stream;

/** Receives what happens to recorded origins outside of a call. Called on any thread. */
public interface StreamOriginListener {

    /** The store did not take origins in time; peers hold them, and the write is repeated. */
    void onNotStored(int origins, String reason);

    /** Origins were dropped before the store has taken them, because too many are waiting. */
    void onDropped(int origins);

    /** A version could not be registered; it is tried again, and its targets wait for it. */
    void onNotRegistered(StreamOrigin version, String reason);

    /** The row of an origin or of a version cannot be decoded. */
    void onUnreadable(String key, String reason);

    /** The removal of expired origins failed; it is tried again later. */
    void onRemovalFailed(String part, String reason);
}
