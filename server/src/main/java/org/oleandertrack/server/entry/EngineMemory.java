package org.oleandertrack.server.entry;

/** Frees the engine memory that is held for programs. Thread safe. */
interface EngineMemory {

    /** Has all targets free what they hold for a program. */
    void release(String organisation, String program);
}
