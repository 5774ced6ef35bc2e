package org.oleandertrack.server.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Creates options and checks arguments for the sub-commands. */
final class Arguments {

    private Arguments() {}

    static Option requiredOption(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .required()
                .desc(description)
                .get();
    }

    static Option optionalOption(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }

    static void expectNoArguments(CommandLine line) {
        if (!line.getArgList().isEmpty()) {
            throw usageError("unexpected argument: " + line.getArgList().getFirst());
        }
    }

    static ResultException usageError(String message) {
        return new ResultException(ResultCode.USAGE, message);
    }
}
