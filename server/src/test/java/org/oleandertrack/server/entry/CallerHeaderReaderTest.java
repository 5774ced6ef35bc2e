package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Tests the reading of typed header values. */
final class CallerHeaderReaderTest {

    private static final Pattern LETTERS = Pattern.compile("[a-z]+");

    /** Guards against a header that is not found because of its case or surrounding spaces. */
    @Test
    void namesIgnoreCaseAndValuesAreTrimmed() {
        CallerHeaderReader reader = reader("x-NAME", " ab ");
        assertEquals(Optional.of("ab"), reader.readText("X-Name", 2));
        assertEquals(Optional.of("ab"), reader.readMatching("X-Name", LETTERS));
        assertEquals(Optional.of(true), reader("X-Name", "true ").readBoolean("x-name"));
    }

    /** Guards against an absent header that is invalid or has a default value. */
    @Test
    void absentHeaderHasNoValue() {
        CallerHeaderReader reader = new CallerHeaderReader(Map.of());
        assertEquals(Optional.empty(), reader.readText("X", 1));
        assertEquals(Optional.empty(), reader.readMatching("X", LETTERS));
        assertEquals(Optional.empty(), reader.readNumber("X", 0, 1));
        assertEquals(Optional.empty(), reader.readBoolean("X"));
    }

    /** Guards against limits that are off by one. */
    @Test
    void limitsAreInclusive() {
        assertEquals(Optional.of(1L), reader("X", "1").readNumber("X", 1, 3));
        assertEquals(Optional.of(3L), reader("X", "3").readNumber("X", 1, 3));
        assertInvalid(() -> reader("X", "0").readNumber("X", 1, 3));
        assertInvalid(() -> reader("X", "4").readNumber("X", 1, 3));
        assertInvalid(() -> reader("X", "abc").readText("X", 2));
    }

    /** Guards against a value of the wrong type that is read as a default value. */
    @Test
    void valuesOfTheWrongTypeAreInvalid() {
        assertInvalid(() -> reader("X", "").readText("X", 2));
        assertInvalid(() -> reader("X", "a1").readMatching("X", LETTERS));
        assertInvalid(() -> reader("X", "1.0").readNumber("X", 0, 9));
        assertInvalid(() -> reader("X", "TRUE").readBoolean("X"));
    }

    /** Guards against one of two values being ignored, with names in the same case or not. */
    @Test
    void secondValueIsInvalid() {
        assertInvalid(
                () -> new CallerHeaderReader(Map.of("X", List.of("1", "1"))).readBoolean("X"));
        assertInvalid(
                () ->
                        new CallerHeaderReader(Map.of("X", List.of("true"), "x", List.of("false")))
                                .readBoolean("X"));
    }

    private static CallerHeaderReader reader(String name, String value) {
        return new CallerHeaderReader(Map.of(name, List.of(value)));
    }

    private static void assertInvalid(Executable read) {
        assertEquals(ResultCode.INVALID_HEADER, assertThrows(ResultException.class, read).code());
    }
}
