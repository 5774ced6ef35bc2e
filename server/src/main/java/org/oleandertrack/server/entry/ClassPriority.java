package org.oleandertrack.server.entry;

import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.ProgramClass;

/** Converts the rank of a class, where lower runs first, to a priority, where higher is sooner. */
final class ClassPriority {

    private ClassPriority() {}

    static int of(ProgramClass programClass) {
        return (int) ClassAttribute.PRIORITY.defaultValue() - programClass.priority();
    }
}
