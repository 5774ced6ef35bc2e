package org.oleandertrack.gateway.call;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A caller's wish to get the rest of a stream that broke off.
 *
 * @param firstRequestId id of the caller's request that brought the stream's first event; empty if
 *     the caller does not state it
 * @param lastEventId id of the last event that the caller has
 */
public record StreamTakeUp(Optional<String> firstRequestId, String lastEventId) {

    /** Returns the id of the last event as a number; empty if it is none. */
    OptionalLong lastEventNumber() {
        return EventSplitter.parseNumber(lastEventId);
    }
}
