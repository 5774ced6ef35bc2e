package org.oleandertrack.server.entry;

import java.util.Optional;

/** Ends programs on an operator's command. Thread safe. */
interface ProgramEnder {

    /** Returns the entry host that is responsible for a program, if it is another one. */
    Optional<String> holderElsewhere(String organisation, String program);

    /**
     * Ends a program and its use of engine memory. Blocks.
     *
     * @throws org.oleandertrack.core.result.ResultException with {@code UNKNOWN_OBJECT} if there is
     *     no such program
     */
    void end(String organisation, String program);
}
