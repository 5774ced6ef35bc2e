package org.oleandertrack.server.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One sub-command of the command line. Implementations keep no state between runs. */
interface SubCommand {

    String name();

    /** Returns a one-line description for the list of sub-commands. */
    String summary();

    /** Returns the arguments after the sub-command's name, for the usage line. */
    String usage();

    /** Returns the accepted options, without the {@code --help} option of all sub-commands. */
    Options options();

    /**
     * Runs the sub-command.
     *
     * @throws org.oleandertrack.core.result.ResultException if it fails; its message is printed
     */
    ExitCode run(CommandLine line, Console console);
}
