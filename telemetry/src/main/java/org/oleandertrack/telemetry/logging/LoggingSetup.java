package org.oleandertrack.telemetry.logging;

import java.util.Map;
import org.slf4j.bridge.SLF4JBridgeHandler;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/**
 * Configures tinylog for the process. tinylog reads its configuration at the first log call, also
 * at one of a library through SLF4J, so this comes before anything else in the process.
 */
public final class LoggingSetup {

    /** Level of commands that print their result on standard output and log nothing. */
    public static final String LEVEL_OFF = "off";

    private LoggingSetup() {}

    /**
     * Sends all log lines of this process to standard output as JSON lines, including those that
     * libraries write through SLF4J and java.util.logging. Uncaught exceptions are logged.
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
                        // The JVM's hook order is not defined, and the writer holds no buffer.
                        "autoshutdown",
                        "false"));
        // Hibernate Validator logs through JBoss Logging, which knows SLF4J by this property.
        System.setProperty("org.jboss.logging.provider", "slf4j");
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, exception) ->
                        Logger.error(exception, "uncaught exception in {}", thread.getName()));
    }
}
