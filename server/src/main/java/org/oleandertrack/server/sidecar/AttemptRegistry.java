package org.oleandertrack.server.sidecar;

import java.util.LinkedHashMap;
import java.util.Map;
import org.oleandertrack.core.result.Execution;

/**
 * Knows which attempts this incarnation started, ended or was asked about. An attempt that was
 * reported as not run is refused from then on. Thread safe.
 */
final class AttemptRegistry {

    /**
     * At 20 calls a second this covers 13 minutes, far longer than any start deadline. Each entry
     * takes about 200 bytes of a heap of 20 MB.
     */
    private static final int MAX_ATTEMPTS = 16_384;

    private final Map<String, Execution> mAttempts = new LinkedHashMap<>();

    /** Records the start of an attempt; returns false if it must not start. */
    synchronized boolean start(String attemptId) {
        if (mAttempts.containsKey(attemptId)) {
            return false;
        }
        put(attemptId, Execution.UNKNOWN);
        return true;
    }

    /** Records how an attempt ended. */
    synchronized void finish(String attemptId, Execution execution) {
        put(attemptId, execution);
    }

    /** Returns what is known of an attempt and refuses it from now on if it has not started. */
    synchronized Execution query(String attemptId) {
        Execution known = mAttempts.get(attemptId);
        if (known != null) {
            return known;
        }
        put(attemptId, Execution.NOT_RUN);
        return Execution.NOT_RUN;
    }

    private void put(String attemptId, Execution execution) {
        mAttempts.put(attemptId, execution);
        if (mAttempts.size() > MAX_ATTEMPTS) {
            mAttempts.remove(mAttempts.keySet().iterator().next());
        }
    }
}
