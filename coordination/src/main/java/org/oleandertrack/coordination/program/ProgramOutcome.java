package org.oleandertrack.coordination.program;

/** What became of a write to a program. */
public sealed interface ProgramOutcome {

    /**
     * The write is durable.
     *
     * @param row the program's row after it
     */
    record Written(ProgramRow row) implements ProgramOutcome {}

    /** Another holder has taken the program over; nothing was written. */
    record OwnershipLost() implements ProgramOutcome {}
}
