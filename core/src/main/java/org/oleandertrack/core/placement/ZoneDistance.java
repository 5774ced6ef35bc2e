package org.oleandertrack.core.placement;

/** Network latency between availability zones. Implementations are thread-safe. */
@FunctionalInterface
public interface ZoneDistance {

    /** Returns the round-trip time between two zones in nanoseconds; 0 within a zone. */
    long roundTripNanos(String zone, String otherZone);
}
