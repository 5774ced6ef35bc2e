package org.oleandertrack.server.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.ResultCode;

/** Guards against failures with the exit code of success, and against ambiguous exit codes. */
final class ExitCodeTest {

    @Test
    void numbersAreUnique() {
        assertEquals(
                ExitCode.values().length,
                Arrays.stream(ExitCode.values()).mapToInt(ExitCode::number).distinct().count());
    }

    @Test
    void noResultCodeEndsAsSuccess() {
        for (ResultCode code : ResultCode.values()) {
            assertNotEquals(ExitCode.SUCCESS, ExitCode.of(code));
        }
    }

    @Test
    void onlyUnexpectedErrorsEndAsInternalError() {
        for (ResultCode code : ResultCode.values()) {
            assertEquals(
                    code == ResultCode.INTERNAL_ERROR,
                    ExitCode.of(code) == ExitCode.INTERNAL_ERROR,
                    code.name());
        }
    }
}
