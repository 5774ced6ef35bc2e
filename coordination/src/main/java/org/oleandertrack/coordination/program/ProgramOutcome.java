package org.oleandertrack.coordination.program;

/** Outcome of a write to a program. */
public sealed interface ProgramOutcome {

    /**
     * The write is durable.
     *
     * @param row row of the program after the write
     */
    record Written(ProgramRow row) implements ProgramOutcome {}

    /** Another holder has adopted the program; nothing was written. */
    record OwnershipLost() implements ProgramOutcome {}
}
