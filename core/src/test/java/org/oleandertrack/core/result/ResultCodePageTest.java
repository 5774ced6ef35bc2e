package org.oleandertrack.core.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against a code that is missing from the documentation or described differently there. */
final class ResultCodePageTest {

    private static final Path PAGE = Path.of("..", "docs", "result-codes.md");

    @Test
    void pageListsEveryCodeAsTheEnumDefinesIt() throws IOException {
        List<String> expected =
                Arrays.stream(ResultCode.values())
                        .map(ResultCodePageTest::pageRow)
                        .collect(Collectors.toList());
        List<String> actual =
                Files.readAllLines(PAGE).stream()
                        .filter(line -> line.matches("\\| \\d{4} .*"))
                        .collect(Collectors.toList());
        assertEquals(expected, actual);
    }

    @Test
    void numbersAreUnique() {
        long distinct =
                Arrays.stream(ResultCode.values()).mapToInt(ResultCode::number).distinct().count();
        assertEquals(ResultCode.values().length, distinct);
    }

    private static String pageRow(ResultCode code) {
        return String.format(
                "| %d | %s | %d | %s | %s | %s |",
                code.number(),
                code.name(),
                code.httpStatus(),
                code.defaultExecution().text(),
                code.retryAdvice().text(),
                code.summary());
    }
}
