package org.oleandertrack.coordination.stream;

import java.util.Objects;

/**
 * The origin of one stream.
 *
 * @param requestId id of the caller's request that brought the first event
 * @param retentionMillis time for which the caller may take the stream up, in milliseconds
 */
public record RecordedOrigin(String requestId, StreamOrigin origin, long retentionMillis) {

    /** Rejects a message that lacks one of the values. */
    public RecordedOrigin {
        Objects.requireNonNull(requestId, "requestId is missing");
        Objects.requireNonNull(origin, "origin is missing");
    }
}
