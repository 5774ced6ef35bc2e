package org.oleandertrack.coordination.stream;

/** Result of a lookup of a stream's origin. */
public sealed interface OriginLookup {

    /** Where an origin was found. */
    enum Source {
        LOCAL,
        STORE,
        PEER,
        /** The service has one version, so it needs no record. */
        SOLE_VERSION
    }

    /** The origin is known. */
    record Found(StreamOrigin origin, Source source) implements OriginLookup {}

    /**
     * The store does not have the origin, no peer that answered holds it, and the service has
     * several versions.
     */
    record NotFound() implements OriginLookup {}

    /** The store did not answer, and no peer that answered holds the origin. */
    record Unavailable(String reason) implements OriginLookup {}
}
