package org.oleandertrack.core.placement;

import org.oleandertrack.core.result.ResultCode;

/** Outcome of a placement decision. */
public sealed interface PlacementResult {

    /**
     * The call is sent to a target.
     *
     * @param targetId id of the target
     * @param reason why the target was chosen
     * @param predicted predicted cost of the choice
     */
    record Placed(String targetId, Reason reason, PredictedCost predicted)
            implements PlacementResult {}

    /**
     * No target can take the call.
     *
     * @param code {@link ResultCode#NO_TARGET_AVAILABLE}
     */
    record Refused(ResultCode code) implements PlacementResult {}

    /** Why a target was chosen. */
    enum Reason {
        /**
         * The target holds the prefix, and waiting for it costs less than computing the prefix
         * elsewhere.
         */
        PREFIX,
        /** The target has the lowest predicted cost among those compared. */
        LEAST_COST,
        /** The target was set aside or failing, and this call tests whether it has recovered. */
        PROBE,
        /** Only targets that are set aside or failing are left. */
        LAST_RESORT
    }

    /**
     * Predicted cost of a target.
     *
     * @param waitNanos waiting time before the call starts, in nanoseconds
     * @param prefillNanos time to compute the prompt tokens that the target does not hold, in
     *     nanoseconds
     * @param penaltyNanos expected delay because of the target's health, in nanoseconds
     * @param zoneNanos round-trip time to the target's zone, in nanoseconds
     * @param costNanos value by which targets are compared, in nanoseconds: the sum of the other
     *     components with the prefill time weighted
     */
    record PredictedCost(
            long waitNanos, long prefillNanos, long penaltyNanos, long zoneNanos, long costNanos) {

        /** Returns the sum of the components without weights, in nanoseconds. */
        public long totalNanos() {
            return waitNanos + prefillNanos + penaltyNanos + zoneNanos;
        }
    }
}
