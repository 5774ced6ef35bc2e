package org.oleandertrack.core.config;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.Pattern;

/** Syntax of the names of configured objects. */
public final class Names {

    /** Description of valid class and target names, for messages. */
    public static final String CLASS_OR_TARGET_FORM =
            "1 to 63 of A-Z a-z 0-9 . _ - with a letter or digit first";

    /** Description of valid model names, for messages. */
    public static final String MODEL_FORM =
            "1 to 128 of A-Z a-z 0-9 . _ : / - with a letter or digit first";

    /** Description of valid organisation names, for messages. */
    public static final String ORGANISATION_FORM =
            "1 to 128 printable ASCII characters without / and without blanks at the ends";

    /** Description of valid program ids, for messages. */
    public static final String PROGRAM_FORM =
            "1 to 256 printable ASCII characters without blanks at the ends";

    private static final Pattern CLASS_OR_TARGET =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern MODEL = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}");
    // A slash separates the organisation from the program in table keys.
    private static final Pattern ORGANISATION =
            Pattern.compile("(?! )[\\x20-\\x7e&&[^/]]{1,128}(?<! )");
    private static final Pattern PROGRAM = Pattern.compile("(?! )[\\x20-\\x7e]{1,256}(?<! )");

    private Names() {}

    /** Returns whether the text is a valid name of a class or target. */
    public static boolean isClassOrTarget(String text) {
        return CLASS_OR_TARGET.matcher(text).matches();
    }

    /** Returns whether the text is a valid name of a model. */
    public static boolean isModel(String text) {
        return MODEL.matcher(text).matches();
    }

    /** Returns whether the text is a valid name of an organisation. */
    public static boolean isOrganisation(String text) {
        return ORGANISATION.matcher(text).matches();
    }

    /** Returns whether the text is a valid program id. */
    public static boolean isProgram(String text) {
        return PROGRAM.matcher(text).matches();
    }

    /** Returns an immutable sorted copy, which iterates in the same order in every process. */
    public static SortedSet<String> sorted(Collection<String> names) {
        return Collections.unmodifiableSortedSet(new TreeSet<>(names));
    }
}
