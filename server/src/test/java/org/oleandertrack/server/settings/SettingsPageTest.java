package org.oleandertrack.server.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleandertrack.server.cli.ExitCode;

/** Guards against settings and exit codes that {@code docs/settings.md} omits or gets wrong. */
final class SettingsPageTest {

    private static final Path PAGE = Path.of("..", "docs", "settings.md");

    @Test
    void pageListsEveryKeyOfAnEntryHost() throws IOException {
        assertEquals(rows(EntrySettings.class), pageRows("## Entry host"));
    }

    @Test
    void pageListsEveryKeyOfASidecar() throws IOException {
        assertEquals(rows(SidecarSettings.class), pageRows("## Sidecar"));
    }

    @Test
    void pageListsEveryExitCode() throws IOException {
        List<String> expected =
                Arrays.stream(ExitCode.values())
                        .map(c -> "| " + c.number() + " | " + c.summary() + " |")
                        .toList();
        assertEquals(expected, section("## Exit codes").filter(l -> l.matches("\\| \\d.*")));
    }

    @Test
    void examplesOnThePageAreValid() throws IOException {
        SettingsLoader.entry().parse(example("## Entry host"), "docs/settings.md");
        SettingsLoader.sidecar().parse(example("## Sidecar"), "docs/settings.md");
    }

    private static List<String> rows(Class<? extends NodeSettings> type) {
        return SettingsSchema.of(type).keys().stream()
                .map(
                        k ->
                                "| `%s` | %s | %s | %s | %s |"
                                        .formatted(
                                                k.path(),
                                                k.type(),
                                                k.unit(),
                                                k.defaultText(),
                                                k.allowedText()))
                .toList();
    }

    // Leaves out the last column, the description, which the settings classes do not contain.
    private static List<String> pageRows(String heading) throws IOException {
        return section(heading).filter(l -> l.startsWith("| `")).stream()
                .map(l -> l.substring(0, l.lastIndexOf('|', l.length() - 2) + 1))
                .toList();
    }

    private static String example(String heading) throws IOException {
        String text = String.join("\n", section(heading).lines());
        int start = text.indexOf("```toml\n") + "```toml\n".length();
        return text.substring(start, text.indexOf("\n```", start));
    }

    private static Section section(String heading) throws IOException {
        List<String> lines = Files.readAllLines(PAGE);
        List<String> rest = lines.subList(lines.indexOf(heading) + 1, lines.size());
        return new Section(rest.stream().takeWhile(l -> !l.startsWith("## ")).toList());
    }

    private record Section(List<String> lines) {
        List<String> filter(java.util.function.Predicate<String> predicate) {
            return lines.stream().filter(predicate).toList();
        }
    }
}
