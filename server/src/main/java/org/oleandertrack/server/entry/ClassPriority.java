package org.oleandertrack.server.entry;

import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.ProgramClass;

/**
 * Converts the priority of a program class from the order of the configuration, in which lower
 * values run first, to the order of calls, in which higher values run first.
 */
final class ClassPriority {

    private ClassPriority() {}

    static int of(ProgramClass programClass) {
        return (int) ClassAttribute.PRIORITY.defaultValue() - programClass.priority();
    }
}
