package org.oleandertrack.server.entry;

/** Frees the cached prompt prefixes that model engines hold for programs. Thread safe. */
interface EngineMemoryReleaser {

    /** Asks all targets to free the memory that they hold for a program. */
    void release(String organisation, String program);
}
