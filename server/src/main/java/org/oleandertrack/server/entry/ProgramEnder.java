package org.oleandertrack.server.entry;

import java.util.Optional;

/** Ends programs by command of an operator. Thread safe. */
interface ProgramEnder {

    /** Returns the entry host that holds a program's shard; empty if this process holds it. */
    Optional<String> remoteHolder(String organisation, String program);

    /**
     * Ends a program and frees its engine memory. Blocks.
     *
     * @throws org.oleandertrack.core.result.ResultException with {@code UNKNOWN_OBJECT} if there is
     *     no such program
     */
    void end(String organisation, String program);
}
