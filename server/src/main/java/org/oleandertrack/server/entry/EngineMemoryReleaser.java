package org.oleandertrack.server.entry;

/** Frees the memory of model engines that holds prefixes of programs. Thread safe. */
interface EngineMemoryReleaser {

    /** Asks all targets to free the memory that they hold for a program. */
    void release(String organisation, String program);
}
