package org.oleandertrack.server.entry;

import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.message.Usage;

/** How one attempt ended. */
sealed interface AttemptResult {

    /**
     * The target answered in full.
     *
     * @param usage tokens and times that the sidecar reported
     */
    record Completed(Usage usage) implements AttemptResult {}

    /**
     * The attempt failed.
     *
     * @param retryAfterMillis suggested wait, 0 for none
     */
    record Failed(
            ResultCode code,
            Execution execution,
            String message,
            long retryAfterMillis,
            Usage usage)
            implements AttemptResult {}
}
