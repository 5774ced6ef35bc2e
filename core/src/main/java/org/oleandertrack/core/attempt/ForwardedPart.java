package org.oleandertrack.core.attempt;

/** What a caller already has of the response to its call. */
public enum ForwardedPart {
    /** Nothing; any response can still be given. */
    NOTHING,
    /** The head and perhaps events of a stream, which can go on after the last of them. */
    EVENTS,
    /** The head and a part of a body, which only its own sender can complete. */
    PART_OF_BODY
}
