package org.oleandertrack.coordination.quarantine;

import java.util.Set;

/** Receives changes of the quarantine and failures of the store. Must not block. */
public interface QuarantineListener {

    /** Requests with this key are no longer sent to targets. */
    void onQuarantined(String requestKey, Set<String> targetIds);

    /** Requests with this key are sent to targets again. */
    void onReleased(String requestKey);

    /** A suspect could not be written; it is tried again. */
    void onWriteFailed(String requestKey, String reason);

    /** A row of the table could not be decoded and is ignored. */
    void onUnreadable(String key, String reason);
}
