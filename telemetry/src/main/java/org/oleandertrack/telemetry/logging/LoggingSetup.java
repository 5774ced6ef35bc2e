package org.oleandertrack.telemetry.logging;

import java.util.Map;
import org.slf4j.bridge.SLF4JBridgeHandler;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/**
 * Configures tinylog for the process. tinylog reads its configuration at the first log call,
 * including log calls of libraries through SLF4J, so {@link #configure} must be called before
 * anything else.
 */
public final class LoggingSetup {

    /** Level for commands that print their result to standard output and must not log. */
    public static final String LEVEL_OFF = "off";

    private LoggingSetup() {}

    /**
     * Writes all log lines of this process to standard output as JSON objects, including those of
     * libraries that use SLF4J or java.util.logging. Uncaught exceptions are logged.
     *
     * @param level tinylog level: trace, debug, info, warn, error or off
     */
    public static void configure(String level) {
        Configuration.replace(
                Map.of(
                        "writer",
                        JsonLinesWriter.class.getName(),
                        "level",
                        level,
                        // The JVM runs shutdown hooks in no defined order, so tinylog's hook might
                        // stop the logging of other hooks. It is not needed because the writer
                        // itself has no buffer.
                        "autoshutdown",
                        "false"));
        // Selects SLF4J for JBoss Logging, which Hibernate Validator uses.
        System.setProperty("org.jboss.logging.provider", "slf4j");
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, exception) ->
                        Logger.error(exception, "uncaught exception in {}", thread.getName()));
    }
}
