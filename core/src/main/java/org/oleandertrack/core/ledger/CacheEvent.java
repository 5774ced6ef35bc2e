package org.oleandertrack.core.ledger;

/**
 * A change in the engine's prefix cache, as the engine reports it.
 *
 * @param sequence number of the event; the engine increments it by 1 for each event
 * @param kind what happened
 * @param owner owner of the tokens
 * @param tokens number of tokens
 */
public record CacheEvent(long sequence, Kind kind, String owner, long tokens) {

    /** What happened to the tokens. */
    public enum Kind {
        STORED,
        EVICTED
    }
}
