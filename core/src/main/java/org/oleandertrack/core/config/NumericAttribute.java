package org.oleandertrack.core.config;

/** A numeric attribute of a configured object, with its range and default. */
public sealed interface NumericAttribute permits ClassAttribute, OrganisationAttribute {

    /** Returns the name in commands; it ends in the unit if the value has one. */
    String text();

    long min();

    long max();

    /** Returns the value of an object for which the attribute was never set. */
    long defaultValue();

    /** Returns the given value, or fails if it is out of range. */
    default long checked(long value) {
        if (value < min() || value > max()) {
            throw new IllegalArgumentException(
                    text() + "=" + value + " is not in " + min() + " to " + max());
        }
        return value;
    }
}
