package org.oleandertrack.core.placement;

import org.oleandertrack.core.result.ResultCode;

/** Outcome of a placement decision. */
public sealed interface PlacementResult {

    /**
     * The call goes to a target.
     *
     * @param targetId the target
     * @param reason why it was chosen
     * @param predicted what the choice is expected to cost
     */
    record Placed(String targetId, Reason reason, Predicted predicted) implements PlacementResult {}

    /**
     * No target can take the call.
     *
     * @param code {@link ResultCode#NO_TARGET_AVAILABLE}
     */
    record Refused(ResultCode code) implements PlacementResult {}

    /** Why a target was chosen. */
    enum Reason {
        /** It has the prefix, and waiting there costs less than computing it elsewhere. */
        PREFIX,
        /** It has the least predicted cost among the targets compared. */
        LEAST_COST,
        /** It was set aside, and this call finds out whether it has recovered. */
        PROBE,
        /** No target without a fault is left. */
        LAST_RESORT
    }

    /**
     * Predicted time at a target, each part in nanoseconds.
     *
     * @param waitNanos wait before the call starts
     * @param prefillNanos computation of the prompt tokens that the target does not hold
     * @param penaltyNanos loss because of the target's health
     * @param zoneNanos distance to the target's zone
     * @param costNanos what targets are compared by: the sum of the parts, with the prompt tokens
     *     to compute weighted
     */
    record Predicted(
            long waitNanos, long prefillNanos, long penaltyNanos, long zoneNanos, long costNanos) {

        /** Returns the sum of the parts in nanoseconds. */
        public long totalNanos() {
            return waitNanos + prefillNanos + penaltyNanos + zoneNanos;
        }
    }
}
