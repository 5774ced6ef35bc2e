package org.oleandertrack.core.ledger;

/**
 * A change in the engine's cache, as the engine reports it.
 *
 * @param sequence number of the event; rises by 1 from event to event in the engine
 * @param kind what happened
 * @param owner whose tokens it concerns
 * @param tokens number of tokens
 */
public record CacheEvent(long sequence, Kind kind, String owner, long tokens) {

    /** What happened to the tokens. */
    public enum Kind {
        STORED,
        EVICTED
    }
}
