package org.oleandertrack.coordination.stream;

import java.util.Objects;

/**
 * What generated the first event of a stream. Only targets with the same origin can continue it.
 *
 * @param service service of the target
 * @param softwareVersion version of the target's software
 */
public record StreamOrigin(String service, String softwareVersion) {

    /** Rejects a message that lacks one of the values. */
    public StreamOrigin {
        Objects.requireNonNull(service, "service is missing");
        Objects.requireNonNull(softwareVersion, "softwareVersion is missing");
    }
}
