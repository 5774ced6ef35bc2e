package org.oleandertrack.gateway.targets;

import org.oleandertrack.core.turn.PlacementChoice;

/**
 * The target chosen for a request. The request is already counted in the target's load.
 *
 * @param handle the target
 * @param choice the figures on which the choice was based
 */
public record PlacedTarget(TargetHandle handle, PlacementChoice choice) {}
