package org.oleandertrack.core.traffic;

/** What a request allows to be done more than once. */
public enum RequestKind {
    /** May run any number of times. */
    SAFE,
    /** Runs at most once for each attempt of the caller. */
    UNSAFE,
    /** Answered by a stream of events; runs at most once unless its route lets it be resumed. */
    STREAMING
}
