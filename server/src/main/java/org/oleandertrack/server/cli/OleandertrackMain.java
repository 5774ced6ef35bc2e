package org.oleandertrack.server.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.server.settings.SettingsLoader;
import org.oleandertrack.telemetry.logging.LoggingSetup;

/**
 * Entry point of the command line. Each failure prints one line on standard error and ends the
 * process with an exit code that {@code docs/settings.md} lists. Not thread-safe.
 */
public final class OleandertrackMain {

    private static final String HELP = "help";

    // Exceeds the time for which an entry host waits for a slow store when it makes a change.
    private static final Duration CTL_RESPONSE_TIMEOUT = Duration.ofSeconds(30);

    private final Console mConsole;
    private final HelpPrinter mHelpPrinter = new HelpPrinter();
    private final Map<String, SubCommand> mCommands = new LinkedHashMap<>();

    // Life-cycle

    /**
     * Creates a command line.
     *
     * @param factory creates the daemons
     * @param console the streams for results and errors
     * @param logConfigurer configures logging with the given tinylog level
     * @param hookRegistrar registers a thread that the JVM starts on shutdown
     */
    public OleandertrackMain(
            DaemonFactory factory,
            Console console,
            Consumer<String> logConfigurer,
            Consumer<Thread> hookRegistrar) {
        mConsole = console;
        DaemonRunner runner = new DaemonRunner(hookRegistrar);
        List<SubCommand> commands =
                List.of(
                        new DaemonCommand<>(
                                "entry",
                                "Run an entry host.",
                                SettingsLoader::entry,
                                factory::createEntry,
                                runner,
                                logConfigurer),
                        new DaemonCommand<>(
                                "sidecar",
                                "Run the process beside a target.",
                                SettingsLoader::sidecar,
                                factory::createSidecar,
                                runner,
                                logConfigurer),
                        new CtlCommand(CTL_RESPONSE_TIMEOUT),
                        new CheckCommand(logConfigurer),
                        new VersionCommand());
        commands.forEach(c -> mCommands.put(c.name(), c));
    }

    /** Runs the command line of the process. */
    public static void main(String[] args) {
        OleandertrackMain main =
                new OleandertrackMain(
                        new DefaultDaemonFactory(),
                        new Console(utf8Stream(FileDescriptor.out), utf8Stream(FileDescriptor.err)),
                        LoggingSetup::configure,
                        Runtime.getRuntime()::addShutdownHook);
        System.exit(main.run(args).number());
    }

    // Operations

    /** Runs one command line and returns the exit code of the process. */
    public ExitCode run(String... args) {
        try {
            return dispatch(args);
        } catch (ResultException e) {
            return printFailure(e.code(), e.getMessage());
        } catch (RuntimeException e) {
            return printFailure(ResultCode.INTERNAL_ERROR, e.toString());
        }
    }

    // Helpers

    // JSON output must be UTF-8 regardless of the terminal's locale.
    private static PrintStream utf8Stream(FileDescriptor descriptor) {
        return new PrintStream(new FileOutputStream(descriptor), true, StandardCharsets.UTF_8);
    }

    private ExitCode dispatch(String... args) {
        if (args.length == 0) {
            throw Arguments.usageError("no command given; try: oleandertrack --help");
        }
        if (args[0].equals("--help")) {
            mHelpPrinter.printOverview(mCommands.values(), mConsole.out());
            return ExitCode.SUCCESS;
        }
        SubCommand command = mCommands.get(args[0]);
        if (command == null) {
            throw Arguments.usageError(
                    "unknown command " + args[0] + "; try: oleandertrack --help");
        }
        List<String> rest = Arrays.asList(args).subList(1, args.length);
        if (rest.contains("--help")) {
            mHelpPrinter.printCommandHelp(command, optionsWithHelp(command), mConsole.out());
            return ExitCode.SUCCESS;
        }
        return command.run(parse(command, rest), mConsole);
    }

    private static CommandLine parse(SubCommand command, List<String> args) {
        try {
            CommandLine line =
                    DefaultParser.builder()
                            .setAllowPartialMatching(false)
                            .get()
                            .parse(optionsWithHelp(command), args.toArray(String[]::new));
            expectEachOptionOnce(line);
            return line;
        } catch (ParseException e) {
            throw Arguments.usageError(
                    e.getMessage() + "; try: oleandertrack " + command.name() + " --help");
        }
    }

    private static void expectEachOptionOnce(CommandLine line) {
        Set<String> seen = new HashSet<>();
        for (Option option : line.getOptions()) {
            if (!seen.add(option.getLongOpt())) {
                throw Arguments.usageError("option given twice: " + option.getLongOpt());
            }
        }
    }

    private static Options optionsWithHelp(SubCommand command) {
        return command.options()
                .addOption(Option.builder().longOpt(HELP).desc("Print this text.").get());
    }

    private ExitCode printFailure(ResultCode code, String message) {
        String line = message.lines().findFirst().orElse("");
        mConsole.err()
                .printf(
                        "%s: %d %s: %s%n",
                        HelpPrinter.EXECUTABLE_NAME, code.number(), code.name(), line);
        return ExitCode.of(code);
    }
}
