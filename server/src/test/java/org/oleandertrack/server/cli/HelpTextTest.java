package org.oleandertrack.server.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Guards against unintended changes of the help texts and of the messages for usage errors. */
final class HelpTextTest {

    private static final List<List<String>> COMMAND_LINES =
            List.of(
                    List.of("--help"),
                    List.of("entry", "--help"),
                    List.of("sidecar", "--help"),
                    List.of("ctl", "--help"),
                    List.of("check", "--help"),
                    List.of("version", "--help"));

    private static final List<List<String>> USAGE_ERRORS =
            List.of(
                    List.of(),
                    List.of("entri"),
                    List.of("--version"),
                    List.of("entry"),
                    List.of("entry", "--settings"),
                    List.of("entry", "--settings", "a.toml", "b.toml"),
                    List.of("entry", "--setting", "a.toml"),
                    List.of("entry", "--settings", "a.toml", "--port", "1"),
                    List.of("sidecar", "--settings", "a.toml", "--settings", "b.toml"),
                    List.of("check", "a.toml"),
                    List.of("check", "--role", "entry"),
                    List.of("check", "--role", "host", "a.toml"),
                    List.of("version", "1"));

    @Test
    void helpTextsAreAsApproved() {
        StringBuilder text = new StringBuilder();
        for (List<String> args : COMMAND_LINES) {
            CommandLineRun run = CommandLineRun.of(args.toArray(String[]::new));
            assertEquals(ExitCode.SUCCESS, run.exit());
            assertEquals("", run.err());
            text.append("$ oleandertrack ").append(String.join(" ", args)).append('\n');
            text.append(run.out()).append('\n');
        }
        Approvals.verify(text.toString());
    }

    @Test
    void usageErrorsPrintOneLineEach() {
        StringBuilder text = new StringBuilder();
        for (List<String> args : USAGE_ERRORS) {
            CommandLineRun run = CommandLineRun.of(args.toArray(String[]::new));
            assertEquals(1, run.err().lines().count(), run.err());
            assertEquals("", run.out());
            text.append("$ oleandertrack ").append(String.join(" ", args)).append('\n');
            text.append("exit ").append(run.exit().number()).append(": ");
            text.append(run.err()).append('\n');
        }
        Approvals.verify(text.toString());
    }
}
