package org.oleandertrack.server.entry;

import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.ProgramClass;

/**
 * Converts the configured priority of a program class, of which a lower value runs first, to the
 * priority that calls carry, of which a higher value runs first.
 */
final class ClassPriority {

    private ClassPriority() {}

    static int of(ProgramClass programClass) {
        return (int) ClassAttribute.PRIORITY.defaultValue() - programClass.priority();
    }
}
