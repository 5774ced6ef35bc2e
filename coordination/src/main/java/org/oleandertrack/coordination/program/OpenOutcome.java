package org.oleandertrack.coordination.program;

/** What became of the creation or adoption of a root program. */
public sealed interface OpenOutcome {

    /**
     * This holder may work on the program.
     *
     * @param session the program's state in memory
     */
    record Opened(ProgramSession session) implements OpenOutcome {}

    /** A program to be created exists already and is to be adopted. */
    record Exists() implements OpenOutcome {}

    /** A program to be adopted does not exist. */
    record Missing() implements OpenOutcome {}

    /**
     * A holder with a higher fencing number has the program.
     *
     * @param fence that fencing number
     */
    record Fenced(long fence) implements OpenOutcome {}
}
