package org.oleandertrack.server.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.oleandertrack.server.settings.EntrySettings;
import org.oleandertrack.server.settings.SidecarSettings;

/**
 * The output and exit code of one command line that ran in the test's process.
 *
 * @param exit exit code
 * @param out standard output
 * @param err standard error
 */
record CommandLineRun(ExitCode exit, String out, String err) {

    /** Runs a command line without changing the log configuration or the JVM's shutdown hooks. */
    static CommandLineRun of(String... args) {
        return of(new NoDaemons(), args);
    }

    static CommandLineRun of(DaemonFactory factory, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Console console = new Console(stream(out), stream(err));
        OleandertrackMain main =
                new OleandertrackMain(factory, console, level -> {}, Thread::start);
        ExitCode exit = main.run(args);
        return new CommandLineRun(
                exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    /** Fails the test if the command line creates a daemon. */
    private static final class NoDaemons implements DaemonFactory {
        @Override
        public Daemon createEntry(EntrySettings settings) {
            throw new AssertionError("created an entry daemon");
        }

        @Override
        public Daemon createSidecar(SidecarSettings settings) {
            throw new AssertionError("created a sidecar daemon");
        }
    }
}
