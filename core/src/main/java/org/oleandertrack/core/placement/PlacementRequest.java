package org.oleandertrack.core.placement;

import java.util.Optional;
import java.util.Set;

/**
 * A call to be placed. Immutable.
 *
 * @param promptTokens number of tokens of the prompt; not negative
 * @param prefix target that holds a prefix of the prompt in engine memory, if known
 * @param excluded ids of targets that may not be chosen, for instance because an attempt failed
 *     there
 * @param mayProbe whether the call may be used to probe a target that was set aside
 */
public record PlacementRequest(
        long promptTokens,
        Optional<PrefixLocation> prefix,
        Set<String> excluded,
        boolean mayProbe) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the number of tokens is negative
     */
    public PlacementRequest {
        if (promptTokens < 0) {
            throw new IllegalArgumentException("promptTokens is negative: " + promptTokens);
        }
        excluded = Set.copyOf(excluded);
    }

    /** Returns a request without a known prefix or excluded targets that may be used as a probe. */
    public static PlacementRequest of(long promptTokens) {
        return new PlacementRequest(promptTokens, Optional.empty(), Set.of(), true);
    }

    /** Returns a copy whose prefix is held by the given target. */
    public PlacementRequest withPrefix(PrefixLocation location) {
        return new PlacementRequest(promptTokens, Optional.of(location), excluded, mayProbe);
    }

    /** Returns a copy that may not be sent to the given targets. */
    public PlacementRequest withExcluded(Set<String> targets) {
        return new PlacementRequest(promptTokens, prefix, targets, mayProbe);
    }

    /** Returns a copy that may, or may not, be used as a probe. */
    public PlacementRequest withProbe(boolean mayProbe) {
        return new PlacementRequest(promptTokens, prefix, excluded, mayProbe);
    }
}
