package org.oleandertrack.server.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;

/** Options and checks that several sub-commands share. */
final class Arguments {

    private Arguments() {}

    static Option required(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .required()
                .desc(description)
                .get();
    }

    static Option optional(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }

    static void expectNone(CommandLine line) {
        if (!line.getArgList().isEmpty()) {
            throw usage("unexpected argument: " + line.getArgList().getFirst());
        }
    }

    static ResultException usage(String message) {
        return new ResultException(ResultCode.USAGE, message);
    }
}
