package org.oleandertrack.core.organisation;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A group of clients that share access keys, a priority and a limit. Immutable.
 *
 * @param name unique name; not empty
 * @param keyDigests digests of the valid access keys; empty if all were revoked
 * @param priority priority of its requests, which takes precedence over that of their route; 0 is
 *     the most urgent
 * @param limit limit on its requests; empty if there is none
 */
public record Organisation(
        String name,
        Set<KeyDigest> keyDigests,
        OptionalInt priority,
        Optional<RequestLimit> limit) {

    /** Copies the digests. */
    public Organisation {
        if (name.isEmpty()) {
            throw new IllegalArgumentException("an organisation needs a name");
        }
        keyDigests = Set.copyOf(keyDigests);
    }
}
