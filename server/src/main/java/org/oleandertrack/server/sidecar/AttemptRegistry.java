package org.oleandertrack.server.sidecar;

import java.util.LinkedHashMap;
import java.util.Map;
import org.oleandertrack.core.result.Execution;

/**
 * Records the attempts that this incarnation of the sidecar started, finished or was queried about.
 * An attempt that was reported as not run is refused from then on. Thread safe.
 */
final class AttemptRegistry {

    /**
     * Number of most recent attempts that are kept. At 20 calls per second they cover 13 minutes,
     * far longer than any start deadline. Each entry takes about 200 bytes of a heap of 20 MB.
     */
    private static final int MAX_ATTEMPTS = 16_384;

    /** Execution status by attempt id, {@code UNKNOWN} while the attempt runs. */
    private final Map<String, Execution> mExecutions = new LinkedHashMap<>();

    /**
     * Records the start of an attempt.
     *
     * @return false if the attempt must not start, because it already started or was reported as
     *     not run
     */
    synchronized boolean tryStart(String attemptId) {
        if (mExecutions.containsKey(attemptId)) {
            return false;
        }
        put(attemptId, Execution.UNKNOWN);
        return true;
    }

    /** Records whether the target ran an attempt that has ended. */
    synchronized void finish(String attemptId, Execution execution) {
        put(attemptId, execution);
    }

    /**
     * Returns whether the target ran an attempt. An attempt that has not started is reported as not
     * run and is refused if it arrives later.
     */
    synchronized Execution resolve(String attemptId) {
        Execution known = mExecutions.get(attemptId);
        if (known != null) {
            return known;
        }
        put(attemptId, Execution.NOT_RUN);
        return Execution.NOT_RUN;
    }

    private void put(String attemptId, Execution execution) {
        mExecutions.put(attemptId, execution);
        if (mExecutions.size() > MAX_ATTEMPTS) {
            mExecutions.remove(mExecutions.keySet().iterator().next());
        }
    }
}
