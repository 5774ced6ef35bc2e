package org.oleandertrack.coordination.program;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Names a program.
 *
 * @param organisation its organisation
 * @param program its id; a sub-agent's id starts with the id of its root and a slash
 */
public record ProgramKey(String organisation, String program) {

    static final String PREFIX = "program/";

    /** Returns the root program, which carries the budget. */
    public ProgramKey root() {
        int slash = program.indexOf('/');
        return slash < 0 ? this : new ProgramKey(organisation, program.substring(0, slash));
    }

    /** Returns whether this is a root program. */
    public boolean isRoot() {
        return program.indexOf('/') < 0;
    }

    /** Returns the key of the program's row. A slash in an organisation's name is encoded. */
    public String rowKey() {
        return PREFIX + URLEncoder.encode(organisation, StandardCharsets.UTF_8) + "/" + program;
    }
}
