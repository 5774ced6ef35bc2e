package org.oleandertrack.core.placement;

import java.util.Objects;

/**
 * Location of a prompt prefix in the engine memory of a target.
 *
 * @param targetId id of the target
 * @param tokens length of the prefix in tokens; not negative
 */
public record PrefixLocation(String targetId, long tokens) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the number of tokens is negative
     */
    public PrefixLocation {
        Objects.requireNonNull(targetId, "targetId");
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens is negative: " + tokens);
        }
    }
}
