package org.oleandertrack.server.cli;

import java.nio.file.Path;
import java.util.function.Consumer;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oleandertrack.server.settings.SettingsLoader;
import org.oleandertrack.telemetry.logging.LoggingSetup;

/** Sub-command {@code check}, which validates a settings file without starting a daemon. */
final class CheckCommand implements SubCommand {

    private static final String ROLE = "role";

    private final Consumer<String> mLogConfigurer;

    /**
     * Creates the command.
     *
     * @param logConfigurer configures logging with the given tinylog level
     */
    CheckCommand(Consumer<String> logConfigurer) {
        mLogConfigurer = logConfigurer;
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
                        Arguments.requiredOption(
                                ROLE, "ROLE", "Daemon that the file is for: entry or sidecar."));
    }

    @Override
    public ExitCode run(CommandLine line, Console console) {
        if (line.getArgList().size() != 1) {
            throw Arguments.usageError("check needs exactly one FILE");
        }
        Path file = Path.of(line.getArgList().getFirst());
        // Must precede the creation of the loader, because Dropwizard's classes log on loading.
        mLogConfigurer.accept(LoggingSetup.LEVEL_OFF);
        loaderFor(line.getOptionValue(ROLE)).load(file);
        console.out().println(file + ": valid");
        return ExitCode.SUCCESS;
    }

    private static SettingsLoader<?> loaderFor(String role) {
        return switch (role) {
            case "entry" -> SettingsLoader.entry();
            case "sidecar" -> SettingsLoader.sidecar();
            default -> throw Arguments.usageError("--role " + role + ": not one of entry, sidecar");
        };
    }
}
