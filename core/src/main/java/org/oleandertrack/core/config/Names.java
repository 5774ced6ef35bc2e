package org.oleandertrack.core.config;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.Pattern;

/** Which names configured objects may have. */
public final class Names {

    /** The form of class and target names, for messages. */
    public static final String OBJECT_FORM =
            "1 to 63 of A-Z a-z 0-9 . _ - with a letter or digit first";

    /** The form of model names, for messages. */
    public static final String MODEL_FORM =
            "1 to 128 of A-Z a-z 0-9 . _ : / - with a letter or digit first";

    /** The form of organisation names, for messages. */
    public static final String ORGANISATION_FORM =
            "1 to 128 printable ASCII characters without / and without blanks at the ends";

    /** The form of program ids, for messages. */
    public static final String PROGRAM_FORM =
            "1 to 256 printable ASCII characters without blanks at the ends";

    private static final Pattern OBJECT = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern MODEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}");
    // A slash separates the organisation from the program in table keys.
    private static final Pattern ORGANISATION =
            Pattern.compile("(?! )[\\x20-\\x7e&&[^/]]{1,128}(?<! )");
    private static final Pattern PROGRAM = Pattern.compile("(?! )[\\x20-\\x7e]{1,256}(?<! )");

    private Names() {}

    /** Returns whether the text may name a class or a target. */
    public static boolean isObject(String text) {
        return OBJECT.matcher(text).matches();
    }

    /** Returns whether the text may name a model. */
    public static boolean isModel(String text) {
        return MODEL.matcher(text).matches();
    }

    /** Returns whether the text may name an organisation. */
    public static boolean isOrganisation(String text) {
        return ORGANISATION.matcher(text).matches();
    }

    /** Returns whether the text may be a program's id. */
    public static boolean isProgram(String text) {
        return PROGRAM.matcher(text).matches();
    }

    /** Returns an immutable copy whose order does not depend on the process. */
    public static SortedSet<String> sorted(Collection<String> names) {
        return Collections.unmodifiableSortedSet(new TreeSet<>(names));
    }
}
