package org.oleandertrack.coordination.program;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Identifies a program.
 *
 * @param organisation organisation of the program
 * @param program id of the program; the id of a sub-agent is that of its root program, a slash and
 *     further characters
 */
public record ProgramKey(String organisation, String program) {

    static final String PREFIX = "program/";

    /** Returns the key of the root program, whose row contains the budget. */
    public ProgramKey root() {
        int slash = program.indexOf('/');
        return slash < 0 ? this : new ProgramKey(organisation, program.substring(0, slash));
    }

    /** Returns whether this is a root program. */
    public boolean isRoot() {
        return program.indexOf('/') < 0;
    }

    /**
     * Returns the key of the program's row. The organisation is URL-encoded, because a slash in it
     * could make the keys of two programs equal.
     */
    public String rowKey() {
        return PREFIX + URLEncoder.encode(organisation, StandardCharsets.UTF_8) + "/" + program;
    }
}
