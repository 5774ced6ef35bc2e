package org.oleandertrack.core.placement;

import java.util.Objects;

/**
 * Fixed properties of a target. Immutable.
 *
 * @param id id of the target, unique among all targets
 * @param zone availability zone
 * @param slots number of calls that the target runs at a time; positive
 */
public record TargetInfo(String id, String zone, int slots) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the number of slots is not positive
     */
    public TargetInfo {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(zone, "zone");
        if (slots <= 0) {
            throw new IllegalArgumentException("slots is not positive: " + slots);
        }
    }
}
