package org.oleandertrack.core.config;

/** A numeric attribute of a configured object, with its range and default. */
public sealed interface NumericAttribute permits ClassAttribute, OrganisationAttribute {

    /** Returns the name in commands, which ends in the unit if the value has one. */
    String text();

    long min();

    long max();

    /** Returns the value for objects for which the attribute is not configured. */
    long defaultValue();

    /**
     * Returns the given value.
     *
     * @throws IllegalArgumentException if the value is out of range
     */
    default long requireInRange(long value) {
        if (value < min() || value > max()) {
            throw new IllegalArgumentException(
                    text() + "=" + value + " is not in " + min() + " to " + max());
        }
        return value;
    }
}
