package org.oleandertrack.core.placement;

/**
 * How a target's health counts in a placement.
 *
 * @param use whether calls may be sent to the target
 * @param penaltyNanos time that a call is expected to lose there against a healthy target, in
 *     nanoseconds; not negative
 */
public record TargetAssessment(Use use, long penaltyNanos) {

    /** A target without any fault. */
    public static final TargetAssessment HEALTHY = new TargetAssessment(Use.NORMAL, 0);

    /** Which calls a target may get. */
    public enum Use {
        /** Any call. */
        NORMAL,
        /** The next call, to find out whether the target has recovered. */
        PROBE,
        /** Only calls that no other target can take. */
        LAST_RESORT,
        /** No call. */
        NONE
    }
}
