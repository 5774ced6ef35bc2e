package org.oleandertrack.core.placement;

/** The health of targets as placement sees it. */
@FunctionalInterface
public interface HealthView {

    /** All targets are healthy. */
    HealthView ALL_HEALTHY = (targetId, nowNanos) -> TargetAssessment.HEALTHY;

    /** Assesses a target at the given time. */
    TargetAssessment assess(String targetId, long nowNanos);
}
