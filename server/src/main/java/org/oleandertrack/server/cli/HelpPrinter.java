package org.oleandertrack.server.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Collection;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Prints the help texts. Stateless. */
final class HelpPrinter {

    static final String EXECUTABLE_NAME = "oleandertrack";

    void printOverview(Collection<SubCommand> commands, PrintStream out) {
        out.println("usage: " + EXECUTABLE_NAME + " COMMAND [ARGUMENTS]");
        out.println();
        commands.forEach(c -> out.printf("  %-9s%s%n", c.name(), c.summary()));
        out.println();
        out.println("oleandertrack COMMAND --help describes a command.");
        out.println("Exit codes are listed in docs/settings.md.");
    }

    void printCommandHelp(SubCommand command, Options options, PrintStream out) {
        StringBuilder text = new StringBuilder();
        HelpFormatter formatter =
                HelpFormatter.builder()
                        .setHelpAppendable(new TextHelpAppendable(text))
                        .setShowSince(false)
                        .get();
        try {
            formatter.printHelp(
                    (EXECUTABLE_NAME + " " + command.name() + " " + command.usage()).strip(),
                    command.summary(),
                    options,
                    "",
                    false);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        // The formatter pads all cells of its table, including the last one of each line.
        text.toString().strip().lines().map(String::stripTrailing).forEach(out::println);
    }
}
