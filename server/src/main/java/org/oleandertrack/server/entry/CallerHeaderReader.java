package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Reads typed values from a caller's headers; names are compared without case. */
final class CallerHeaderReader {

    private final Map<String, List<String>> mHeaders;

    CallerHeaderReader(Map<String, List<String>> headers) {
        mHeaders = headers;
    }

    /** Returns a value of at most the given number of characters. */
    Optional<String> text(String name, int maxChars) {
        Optional<String> value = single(name);
        if (value.isPresent() && (value.get().isEmpty() || value.get().length() > maxChars)) {
            throw invalid(name, "must have 1 to " + maxChars + " characters");
        }
        return value;
    }

    /** Returns a value that matches a pattern. */
    Optional<String> matching(String name, Pattern pattern) {
        Optional<String> value = single(name);
        if (value.isPresent() && !pattern.matcher(value.get()).matches()) {
            throw invalid(name, "must match " + pattern.pattern());
        }
        return value;
    }

    /** Returns a whole number within a range. */
    Optional<Long> number(String name, long min, long max) {
        return single(name).map(value -> parseNumber(name, value, min, max));
    }

    /** Returns {@code true} or {@code false}. */
    Optional<Boolean> flag(String name) {
        return single(name).map(value -> parseFlag(name, value));
    }

    private Optional<String> single(String name) {
        List<String> values = new ArrayList<>();
        mHeaders.forEach(
                (key, given) -> {
                    if (key.equalsIgnoreCase(name)) {
                        values.addAll(given);
                    }
                });
        if (values.size() > 1) {
            throw invalid(name, "must be given once");
        }
        return values.stream().findFirst().map(String::trim);
    }

    private static long parseNumber(String name, String value, long min, long max) {
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw invalid(name, "must be a whole number from " + min + " to " + max);
        }
        throw invalid(name, "must be a whole number from " + min + " to " + max);
    }

    private static boolean parseFlag(String name, String value) {
        return switch (value) {
            case "true" -> true;
            case "false" -> false;
            default -> throw invalid(name, "must be true or false");
        };
    }

    private static ResultException invalid(String name, String rule) {
        return new ResultException(ResultCode.INVALID_HEADER, "header " + name + " " + rule);
    }
}
