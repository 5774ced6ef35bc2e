package org.oleandertrack.command;

import java.util.regex.Pattern;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * Text with its place in the statement.
 *
 * @param text the text without quotes
 * @param index place of its first character, from 0
 */
record Word(String text, int index) {

    private static final Pattern CONTROL = Pattern.compile("\\p{Cntrl}");

    /** Returns a failure at this place. */
    ResultException failure(ResultCode code, String message) {
        return failure(code, index, message);
    }

    static ResultException failure(ResultCode code, int index, String message) {
        // Quoted text may hold line ends, but a message is one line.
        String line = CONTROL.matcher(message).replaceAll(" ");
        return new ResultException(code, "position " + (index + 1) + ": " + line);
    }
}
