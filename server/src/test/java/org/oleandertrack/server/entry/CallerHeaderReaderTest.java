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

/** Typed reading of headers. */
final class CallerHeaderReaderTest {

    private static final Pattern LETTERS = Pattern.compile("[a-z]+");

    /** Guards against a header that is missed because of its case or of spaces around it. */
    @Test
    void namesIgnoreCaseAndValuesAreTrimmed() {
        CallerHeaderReader reader = reader("x-NAME", " ab ");
        assertEquals(Optional.of("ab"), reader.text("X-Name", 2));
        assertEquals(Optional.of("ab"), reader.matching("X-Name", LETTERS));
        assertEquals(Optional.of(true), reader("X-Name", "true ").flag("x-name"));
    }

    /** Guards against an absent header that is refused or has a value. */
    @Test
    void absentHeaderHasNoValue() {
        CallerHeaderReader reader = new CallerHeaderReader(Map.of());
        assertEquals(Optional.empty(), reader.text("X", 1));
        assertEquals(Optional.empty(), reader.matching("X", LETTERS));
        assertEquals(Optional.empty(), reader.number("X", 0, 1));
        assertEquals(Optional.empty(), reader.flag("X"));
    }

    /** Guards against limits that are off by one. */
    @Test
    void limitsAreInclusive() {
        assertEquals(Optional.of(1L), reader("X", "1").number("X", 1, 3));
        assertEquals(Optional.of(3L), reader("X", "3").number("X", 1, 3));
        assertInvalid(() -> reader("X", "0").number("X", 1, 3));
        assertInvalid(() -> reader("X", "4").number("X", 1, 3));
        assertInvalid(() -> reader("X", "abc").text("X", 2));
    }

    /** Guards against values of the wrong type that are read as some default. */
    @Test
    void valuesOfTheWrongTypeAreInvalid() {
        assertInvalid(() -> reader("X", "").text("X", 2));
        assertInvalid(() -> reader("X", "a1").matching("X", LETTERS));
        assertInvalid(() -> reader("X", "1.0").number("X", 0, 9));
        assertInvalid(() -> reader("X", "TRUE").flag("X"));
    }

    /** Guards against a choice between contradicting values, in one spelling or two. */
    @Test
    void secondValueIsInvalid() {
        assertInvalid(() -> new CallerHeaderReader(Map.of("X", List.of("1", "1"))).flag("X"));
        assertInvalid(
                () ->
                        new CallerHeaderReader(Map.of("X", List.of("true"), "x", List.of("false")))
                                .flag("X"));
    }

    private static CallerHeaderReader reader(String name, String value) {
        return new CallerHeaderReader(Map.of(name, List.of(value)));
    }

    private static void assertInvalid(Executable read) {
        assertEquals(ResultCode.INVALID_HEADER, assertThrows(ResultException.class, read).code());
    }
}
