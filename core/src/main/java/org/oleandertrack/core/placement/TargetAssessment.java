package org.oleandertrack.core.placement;

/**
 * Effect of a target's health on placement.
 *
 * @param use which calls may be sent to the target
 * @param penaltyNanos expected delay of a call there compared with a healthy target, in
 *     nanoseconds; not negative
 */
public record TargetAssessment(Use use, long penaltyNanos) {

    /** Assessment of a healthy target. */
    public static final TargetAssessment HEALTHY = new TargetAssessment(Use.NORMAL, 0);

    /** Calls that a target may get. */
    public enum Use {
        /** Any call. */
        NORMAL,
        /** The next call, as a probe that tests whether the target has recovered. */
        PROBE,
        /** Only calls for which no other target is left. */
        LAST_RESORT,
        /** No call. */
        NONE
    }
}
