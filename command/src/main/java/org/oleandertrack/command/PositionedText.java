package org.oleandertrack.command;

import java.util.regex.Pattern;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/**
 * A name or value of a statement, with its position for error messages.
 *
 * @param text the text, without quotes and escapes
 * @param index index of its first character in the statement, counted from 0
 */
record PositionedText(String text, int index) {

    private static final Pattern CONTROL_CHARACTER = Pattern.compile("\\p{Cntrl}");

    /** Creates an exception whose message begins with the position of this text. */
    ResultException failure(ResultCode code, String message) {
        return failure(code, index, message);
    }

    /** Creates an exception whose message begins with the position of the given index. */
    static ResultException failure(ResultCode code, int index, String message) {
        // Messages are one line, but quoted text in them may contain line breaks.
        String line = CONTROL_CHARACTER.matcher(message).replaceAll(" ");
        return new ResultException(code, "position " + (index + 1) + ": " + line);
    }
}
