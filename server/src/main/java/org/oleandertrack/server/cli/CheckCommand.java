package org.oleandertrack.server.cli;

import java.nio.file.Path;
import java.util.function.Consumer;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oleandertrack.server.settings.SettingsLoader;
import org.oleandertrack.telemetry.logging.LoggingSetup;

/** Checks a settings file without starting anything. */
final class CheckCommand implements SubCommand {

    private static final String ROLE = "role";

    private final Consumer<String> mLogging;

    /**
     * Creates the command.
     *
     * @param logging configures the log with a tinylog level
     */
    CheckCommand(Consumer<String> logging) {
        mLogging = logging;
    }

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "Check a settings file without starting anything.";
    }

    @Override
    public String usage() {
        return "--role entry|sidecar FILE";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        Arguments.required(
                                ROLE, "ROLE", "Daemon that the file is for: entry or sidecar."));
    }

    @Override
    public ExitCode run(CommandLine line, Console console) {
        if (line.getArgList().size() != 1) {
            throw Arguments.usage("check needs exactly one FILE");
        }
        Path file = Path.of(line.getArgList().getFirst());
        // Comes before the loader, because Dropwizard's classes log when they are loaded.
        mLogging.accept(LoggingSetup.LEVEL_OFF);
        loaderFor(line.getOptionValue(ROLE)).load(file);
        console.out().println(file + ": valid");
        return ExitCode.SUCCESS;
    }

    private static SettingsLoader<?> loaderFor(String role) {
        return switch (role) {
            case "entry" -> SettingsLoader.entry();
            case "sidecar" -> SettingsLoader.sidecar();
            default -> throw Arguments.usage("--role " + role + ": not one of entry, sidecar");
        };
    }
}
