package org.oleandertrack.coordination.stream;

/** Result of a lookup of a stream's origin. */
public sealed interface OriginLookup {

    /** Where an origin was found. */
    enum Source {
        LOCAL,
        STORE,
        PEER
    }

    /** The origin is known. */
    record Found(StreamOrigin origin, Source source) implements OriginLookup {}

    /** The store does not have the origin, and no peer that answered holds it. */
    record NotFound() implements OriginLookup {}

    /** The store did not answer, and no peer that answered holds the origin. */
    record Unavailable(String reason) implements OriginLookup {}
}
