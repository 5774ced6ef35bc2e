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

/** Runs a daemon until the process is told to stop. */
final class DaemonCommand<T extends NodeSettings> implements SubCommand {

    private static final String SETTINGS = "settings";

    private final String mName;
    private final String mSummary;
    private final Supplier<SettingsLoader<T>> mLoader;
    private final Function<T, Daemon> mFactory;
    private final DaemonRunner mRunner;
    private final Consumer<String> mLogging;

    /**
     * Creates the command.
     *
     * @param loader creates the loader once the log is configured, because Dropwizard's classes log
     *     when they are loaded
     * @param logging configures the log with a tinylog level
     */
    DaemonCommand(
            String name,
            String summary,
            Supplier<SettingsLoader<T>> loader,
            Function<T, Daemon> factory,
            DaemonRunner runner,
            Consumer<String> logging) {
        mName = name;
        mSummary = summary;
        mLoader = loader;
        mFactory = factory;
        mRunner = runner;
        mLogging = logging;
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
                .addOption(Arguments.required(SETTINGS, "FILE", "Settings file in TOML."));
    }

    @Override
    public ExitCode run(CommandLine line, Console console) {
        Arguments.expectNone(line);
        Path file = Path.of(line.getOptionValue(SETTINGS));
        mLogging.accept(LogLevelReader.read(file));
        T settings = mLoader.get().load(file);
        return mRunner.run(mName, mFactory.apply(settings));
    }
}
