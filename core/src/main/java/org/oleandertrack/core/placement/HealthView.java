package org.oleandertrack.core.placement;

/** Read access to the health of targets, for placement. */
@FunctionalInterface
public interface HealthView {

    /** All targets are healthy. */
    HealthView ALL_HEALTHY = (targetId, nowNanos) -> TargetAssessment.HEALTHY;

    /** Returns the assessment of a target at the given time. */
    TargetAssessment assess(String targetId, long nowNanos);
}
