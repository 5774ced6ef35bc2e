package org.oleandertrack.gateway.targets;

import org.oleandertrack.core.turn.PlacementChoice;

/**
 * A target that was chosen for a request, which counts as sent there.
 *
 * @param handle the target
 * @param choice figures that decided
 */
public record PlacedTarget(TargetHandle handle, PlacementChoice choice) {}
