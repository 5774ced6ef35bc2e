package org.oleandertrack.server.cli;

import org.oleandertrack.server.settings.EntrySettings;
import org.oleandertrack.server.settings.SidecarSettings;
import org.oleandertrack.telemetry.logging.LoggingSetup;
import org.tinylog.Logger;

/** The command line with fake daemons that only log their start and stop. */
final class RecordingDaemonMain {

    private RecordingDaemonMain() {}

    public static void main(String[] args) {
        OleandertrackMain main =
                new OleandertrackMain(
                        new RecordingFactory(),
                        new Console(System.out, System.err),
                        LoggingSetup::configure,
                        Runtime.getRuntime()::addShutdownHook);
        System.exit(main.run(args).number());
    }

    private static final class RecordingFactory implements DaemonFactory {
        @Override
        public Daemon createEntry(EntrySettings settings) {
            return new RecordingDaemon("entry " + settings.node());
        }

        @Override
        public Daemon createSidecar(SidecarSettings settings) {
            return new RecordingDaemon("sidecar " + settings.target().name());
        }
    }

    private record RecordingDaemon(String name) implements Daemon {
        @Override
        public void start() {
            Logger.info("start called: {}", name);
            Logger.debug("a debug line");
            java.util.logging.Logger.getLogger("jersey").warning("a line of java.util.logging");
        }

        @Override
        public void stop() {
            Logger.info("stop called: {}", name);
        }
    }
}
