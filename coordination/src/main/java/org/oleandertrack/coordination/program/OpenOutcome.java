package org.oleandertrack.coordination.program;

/** Outcome of creating or adopting a root program. */
public sealed interface OpenOutcome {

    /**
     * The program was created or adopted; this holder may run its turns.
     *
     * @param session state of the program in memory
     */
    record Opened(ProgramSession session) implements OpenOutcome {}

    /** The program to be created exists already; it has to be adopted instead. */
    record Exists() implements OpenOutcome {}

    /** The program to be adopted does not exist. */
    record Missing() implements OpenOutcome {}

    /**
     * A holder with a higher fencing number has adopted the program.
     *
     * @param fence fencing number of that holder
     */
    record Fenced(long fence) implements OpenOutcome {}
}
