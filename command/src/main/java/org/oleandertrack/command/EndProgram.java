package org.oleandertrack.command;

import org.oleandertrack.core.config.Names;

/**
 * Ends a program. Because it does not change the configuration, it does not name a version of it.
 * Immutable.
 *
 * @param organisation name of the program's organisation
 * @param program id of the program
 */
public record EndProgram(String organisation, String program) implements Command {

    /** Creates the command, or fails if the organisation's name or the id is malformed. */
    public EndProgram {
        if (!Names.isOrganisation(organisation) || !Names.isProgram(program)) {
            throw new IllegalArgumentException(
                    "malformed organisation or program: " + organisation + " " + program);
        }
    }
}
