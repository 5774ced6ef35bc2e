package org.oleandertrack.core.organisation.limit;

import java.util.List;

/** Result of an {@link IssueRequest}. */
public sealed interface IssueResult {

    /** The request may be sent. */
    record Granted() implements IssueResult {}

    /**
     * The request exceeds the limit.
     *
     * @param reason the decision that refused it
     * @param level number of permits that were left, for the log
     * @param waitMillis time until the issuer has a permit again
     * @param retryMillis time after which the client should return; returns of several clients are
     *     spread over time
     * @param programs programs that the asking host may not know yet
     */
    record Denied(
            DenialReason reason, double level, long waitMillis, long retryMillis, Programs programs)
            implements IssueResult {}

    /**
     * Programs that an issuer admitted.
     *
     * @param keys their keys
     * @param count number of all programs that the issuer has admitted up to them
     */
    record Programs(List<Long> keys, long count) {

        /** No programs. */
        public static final Programs NONE = new Programs(List.of(), 0);

        /** Copies the keys. */
        public Programs {
            keys = List.copyOf(keys);
        }
    }
}
