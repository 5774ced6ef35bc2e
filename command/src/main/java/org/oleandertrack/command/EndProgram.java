package org.oleandertrack.command;

import org.oleandertrack.core.config.Names;

/**
 * Ends a program. It changes the program, not the configuration, and so names no version.
 * Immutable.
 *
 * @param organisation the program's organisation
 * @param program the program's id
 */
public record EndProgram(String organisation, String program) implements Command {

    /** Creates the command, or fails if a name does not have its form. */
    public EndProgram {
        if (!Names.isOrganisation(organisation) || !Names.isProgram(program)) {
            throw new IllegalArgumentException("program " + organisation + " " + program);
        }
    }
}
