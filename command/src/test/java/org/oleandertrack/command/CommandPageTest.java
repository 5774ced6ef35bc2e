package org.oleandertrack.command;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.config.ClassAttribute;
import org.oleandertrack.core.config.NumericAttribute;
import org.oleandertrack.core.config.OrganisationAttribute;

/** Guards against differences between the parser and {@code docs/command-language.md}. */
final class CommandPageTest {

    private static final Path PAGE = Path.of("..", "docs", "command-language.md");

    @Test
    void pageListsEveryClassAttribute() throws IOException {
        assertEquals(rows(ClassAttribute.values()), pageRows("### Attributes of a class"));
    }

    @Test
    void pageListsEveryOrganisationAttribute() throws IOException {
        assertEquals(
                rows(OrganisationAttribute.values()),
                pageRows("### Attributes of an organisation"));
    }

    @Test
    void pageListsEveryObjectWithItsColumns() throws IOException {
        List<String> expected =
                Arrays.stream(QueryObject.values())
                        .map(o -> "| `" + o.text() + "` | " + String.join(", ", o.columns()) + " |")
                        .toList();
        assertEquals(expected, pageRows("## Queries"));
    }

    @Test
    void examplesOnThePageAreValid() throws IOException {
        List<String> lines = section("## Examples").filter(l -> !l.startsWith("```")).toList();
        assertEquals(true, lines.size() > 5);
        lines.forEach(line -> new CommandParser().parse(line));
    }

    private static List<String> rows(NumericAttribute... attributes) {
        return Arrays.stream(attributes)
                .map(
                        a ->
                                "| `%s` | %d | %d to %d |"
                                        .formatted(a.text(), a.defaultValue(), a.min(), a.max()))
                .toList();
    }

    // Leaves out the last column, the description, which the enums do not contain.
    private static List<String> pageRows(String heading) throws IOException {
        return section(heading)
                .filter(l -> l.startsWith("| `"))
                .map(l -> l.substring(0, l.lastIndexOf('|', l.length() - 2) + 1))
                .toList();
    }

    private static java.util.stream.Stream<String> section(String heading) throws IOException {
        List<String> lines = Files.readAllLines(PAGE);
        return lines.subList(lines.indexOf(heading) + 1, lines.size()).stream()
                .takeWhile(l -> !l.startsWith("#"))
                .filter(l -> !l.isBlank());
    }
}
