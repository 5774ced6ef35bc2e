package org.oleandertrack.coordination.conversation;

/** Result of a lookup of a turn by its id. */
public sealed interface TurnLookup {

    /** Where a turn was found. */
    enum Source {
        LOCAL,
        STORE,
        PEER
    }

    /** The turn exists. */
    record Found(Conversation conversation, Source source) implements TurnLookup {}

    /** No turn with this id has ended within its retention time. */
    record NotFound() implements TurnLookup {}

    /** The turn may exist, but cannot be read now. */
    record Unavailable(String reason) implements TurnLookup {}
}
