package org.oleandertrack.server.cli;

import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oleandertrack.server.settings.LogLevelReader;
import org.oleandertrack.server.settings.NodeSettings;
import org.oleandertrack.server.settings.SettingsLoader;

/** Sub-command that runs a daemon until the process is asked to stop. */
final class DaemonCommand<T extends NodeSettings> implements SubCommand {

    private static final String SETTINGS = "settings";

    private final String mName;
    private final String mSummary;
    private final Supplier<SettingsLoader<T>> mLoader;
    private final Function<T, Daemon> mFactory;
    private final DaemonRunner mRunner;
    private final Consumer<String> mLogConfigurer;

    /**
     * Creates the command.
     *
     * @param name name of the sub-command
     * @param summary one line for the list of sub-commands
     * @param loader creates the settings loader; called after logging is configured, because
     *     Dropwizard's classes log when they are loaded
     * @param factory creates the daemon from its settings
     * @param runner runs the daemon
     * @param logConfigurer configures logging with the given tinylog level
     */
    DaemonCommand(
            String name,
            String summary,
            Supplier<SettingsLoader<T>> loader,
            Function<T, Daemon> factory,
            DaemonRunner runner,
            Consumer<String> logConfigurer) {
        mName = name;
        mSummary = summary;
        mLoader = loader;
        mFactory = factory;
        mRunner = runner;
        mLogConfigurer = logConfigurer;
    }

    @Override
    public String name() {
        return mName;
    }

    @Override
    public String summary() {
        return mSummary;
    }

    @Override
    public String usage() {
        return "--settings FILE";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Arguments.requiredOption(SETTINGS, "FILE", "Settings file in TOML."));
    }

    @Override
    public ExitCode run(CommandLine line, Console console) {
        Arguments.expectNoArguments(line);
        Path file = Path.of(line.getOptionValue(SETTINGS));
        mLogConfigurer.accept(LogLevelReader.read(file));
        T settings = mLoader.get().load(file);
        return mRunner.run(mName, mFactory.apply(settings));
    }
}
