package org.oleandertrack.server.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Reads typed values from a caller's headers. Header names are not case-sensitive. */
final class CallerHeaderReader {

    private final Map<String, List<String>> mHeaders;

    CallerHeaderReader(Map<String, List<String>> headers) {
        mHeaders = headers;
    }

    /** Returns the value, which must have 1 to {@code maxChars} characters. */
    Optional<String> readText(String name, int maxChars) {
        Optional<String> value = readSingle(name);
        if (value.isPresent() && (value.get().isEmpty() || value.get().length() > maxChars)) {
            throw invalid(name, "must have 1 to " + maxChars + " characters");
        }
        return value;
    }

    /** Returns the value, which must match a pattern. */
    Optional<String> readMatching(String name, Pattern pattern) {
        Optional<String> value = readSingle(name);
        if (value.isPresent() && !pattern.matcher(value.get()).matches()) {
            throw invalid(name, "must match " + pattern.pattern());
        }
        return value;
    }

    /** Returns the value, which must be a whole number within a range. */
    Optional<Long> readNumber(String name, long min, long max) {
        return readSingle(name).map(value -> parseNumber(name, value, min, max));
    }

    /** Returns the value, which must be {@code true} or {@code false}. */
    Optional<Boolean> readBoolean(String name) {
        return readSingle(name).map(value -> parseBoolean(name, value));
    }

    private Optional<String> readSingle(String name) {
        List<String> values = new ArrayList<>();
        mHeaders.forEach(
                (key, headerValues) -> {
                    if (key.equalsIgnoreCase(name)) {
                        values.addAll(headerValues);
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

    private static boolean parseBoolean(String name, String value) {
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
