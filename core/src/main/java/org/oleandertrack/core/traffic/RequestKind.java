package org.oleandertrack.core.traffic;

/** Whether a request may be executed more than once. */
public enum RequestKind {
    /** May be executed any number of times. */
    SAFE,
    /** Is executed at most once per attempt of the caller. */
    UNSAFE,
    /**
     * The response is a stream of events. Executed at most once unless the route allows the stream
     * to be resumed.
     */
    STREAMING
}
