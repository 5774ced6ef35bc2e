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
 * The command line. Every failure prints one line on standard error and ends the process with a
 * code that {@code docs/settings.md} lists. Not thread-safe.
 */
public final class OleandertrackMain {

    private static final String HELP = "help";

    // Longer than a change waits for a slow store.
    private static final Duration CTL_ANSWER_TIMEOUT = Duration.ofSeconds(30);

    private final Console mConsole;
    private final HelpPrinter mHelpPrinter = new HelpPrinter();
    private final Map<String, SubCommand> mCommands = new LinkedHashMap<>();

    // Life-cycle

    /**
     * Creates a command line.
     *
     * @param factory creates the daemons
     * @param console where results and errors are printed
     * @param logging configures the log with a tinylog level
     * @param shutdownHooks registers a thread that the JVM runs when it is told to stop
     */
    public OleandertrackMain(
            DaemonFactory factory,
            Console console,
            Consumer<String> logging,
            Consumer<Thread> shutdownHooks) {
        mConsole = console;
        DaemonRunner runner = new DaemonRunner(shutdownHooks);
        List<SubCommand> commands =
                List.of(
                        new DaemonCommand<>(
                                "entry",
                                "Run an entry host.",
                                SettingsLoader::entry,
                                factory::entry,
                                runner,
                                logging),
                        new DaemonCommand<>(
                                "sidecar",
                                "Run the process beside a target.",
                                SettingsLoader::sidecar,
                                factory::sidecar,
                                runner,
                                logging),
                        new CtlCommand(CTL_ANSWER_TIMEOUT),
                        new CheckCommand(logging),
                        new VersionCommand());
        commands.forEach(c -> mCommands.put(c.name(), c));
    }

    /** Runs the command line of the process. */
    public static void main(String[] args) {
        OleandertrackMain main =
                new OleandertrackMain(
                        new DefaultDaemonFactory(),
                        new Console(utf8(FileDescriptor.out), utf8(FileDescriptor.err)),
                        LoggingSetup::configure,
                        Runtime.getRuntime()::addShutdownHook);
        System.exit(main.run(args).number());
    }

    // Operations

    /** Runs one command line and returns how the process is to end. */
    public ExitCode run(String... args) {
        try {
            return dispatch(args);
        } catch (ResultException e) {
            return fail(e.code(), e.getMessage());
        } catch (RuntimeException e) {
            return fail(ResultCode.INTERNAL_ERROR, e.toString());
        }
    }

    // Helpers

    // JSON output is UTF-8 whatever the locale of the terminal is.
    private static PrintStream utf8(FileDescriptor descriptor) {
        return new PrintStream(new FileOutputStream(descriptor), true, StandardCharsets.UTF_8);
    }

    private ExitCode dispatch(String... args) {
        if (args.length == 0) {
            throw Arguments.usage("no command given; try: oleandertrack --help");
        }
        if (args[0].equals("--help")) {
            mHelpPrinter.printOverview(mCommands.values(), mConsole.out());
            return ExitCode.SUCCESS;
        }
        SubCommand command = mCommands.get(args[0]);
        if (command == null) {
            throw Arguments.usage("unknown command " + args[0] + "; try: oleandertrack --help");
        }
        List<String> rest = Arrays.asList(args).subList(1, args.length);
        if (rest.contains("--help")) {
            mHelpPrinter.printCommand(command, withHelp(command), mConsole.out());
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
                            .parse(withHelp(command), args.toArray(String[]::new));
            expectEachOptionOnce(line);
            return line;
        } catch (ParseException e) {
            throw Arguments.usage(
                    e.getMessage() + "; try: oleandertrack " + command.name() + " --help");
        }
    }

    private static void expectEachOptionOnce(CommandLine line) {
        Set<String> seen = new HashSet<>();
        for (Option option : line.getOptions()) {
            if (!seen.add(option.getLongOpt())) {
                throw Arguments.usage("option given twice: " + option.getLongOpt());
            }
        }
    }

    private static Options withHelp(SubCommand command) {
        return command.options()
                .addOption(Option.builder().longOpt(HELP).desc("Print this text.").get());
    }

    private ExitCode fail(ResultCode code, String message) {
        String line = message.lines().findFirst().orElse("");
        mConsole.err()
                .printf("%s: %d %s: %s%n", HelpPrinter.PROGRAM, code.number(), code.name(), line);
        return ExitCode.of(code);
    }
}
