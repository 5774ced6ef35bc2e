package org.oleandertrack.core.placement;

import java.util.Optional;
import java.util.Set;

/**
 * A call to be placed. Immutable.
 *
 * @param promptTokens tokens of the prompt; not negative
 * @param prefix where the engine memory holds a prefix of the prompt, if anywhere
 * @param excluded targets that may not be chosen, for instance because an attempt failed there
 * @param probe whether the call may be used to probe a target that was set aside
 */
public record PlacementRequest(
        long promptTokens, Optional<PrefixLocation> prefix, Set<String> excluded, boolean probe) {

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

    /** Returns a request without prefix that may go anywhere and may probe. */
    public static PlacementRequest of(long promptTokens) {
        return new PlacementRequest(promptTokens, Optional.empty(), Set.of(), true);
    }

    /** Returns a copy with a known prefix. */
    public PlacementRequest withPrefix(PrefixLocation location) {
        return new PlacementRequest(promptTokens, Optional.of(location), excluded, probe);
    }

    /** Returns a copy that avoids targets. */
    public PlacementRequest withExcluded(Set<String> targets) {
        return new PlacementRequest(promptTokens, prefix, targets, probe);
    }

    /** Returns a copy that may or may not probe. */
    public PlacementRequest withProbe(boolean mayProbe) {
        return new PlacementRequest(promptTokens, prefix, excluded, mayProbe);
    }
}
