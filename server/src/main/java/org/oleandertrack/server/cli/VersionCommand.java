package org.oleandertrack.server.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Sub-command {@code version}, which prints the version of the binary. */
final class VersionCommand implements SubCommand {

    private static final String RESOURCE = "version.properties";

    @Override
    public String name() {
        return "version";
    }

    @Override
    public String summary() {
        return "Print the version of the binary.";
    }

    @Override
    public String usage() {
        return "";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine line, Console console) {
        Arguments.expectNoArguments(line);
        console.out().println("oleandertrack " + version());
        return ExitCode.SUCCESS;
    }

    private static String version() {
        Properties properties = new Properties();
        try (InputStream input = VersionCommand.class.getResourceAsStream(RESOURCE)) {
            properties.load(input);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return properties.getProperty("version");
    }
}
