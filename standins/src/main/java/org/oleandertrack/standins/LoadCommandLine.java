package org.oleandertrack.standins;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.oleandertrack.standins.load.LoadOptions;

/** The options of the sub-command {@code load}. */
final class LoadCommandLine {

    private static final String DEFAULT_MAX_SECONDS = "30";

    private LoadCommandLine() {}

    static Options options() {
        Options options = new Options();
        options.addRequiredOption(null, "url", true, "URL of the calls; {n} is the call number");
        options.addRequiredOption(null, "calls", true, "number of calls to send");
        options.addRequiredOption(
                null, "concurrency", true, "number of connections, each with one call at a time");
        options.addOption(null, "stream", false, "responses are server-sent events");
        options.addOption(
                null, "header", true, "request header as name=value; {n} is the call number");
        options.addOption(
                null, "body-file", true, "file with the request body; {n} is the call number");
        options.addOption(
                null, "method", true, "HTTP method; default POST with a body, otherwise GET");
        options.addOption(null, "max-seconds", true, "time limit of the run; default 30");
        return options;
    }

    static LoadOptions read(CommandLine line) throws ParseException, IOException {
        String body = "";
        if (line.hasOption("body-file")) {
            body = Files.readString(Path.of(line.getOptionValue("body-file")));
        }
        try {
            return new LoadOptions(
                    URI.create(line.getOptionValue("url").replace("{n}", "%7Bn%7D")),
                    line.getOptionValue("method", body.isEmpty() ? "GET" : "POST"),
                    headers(line),
                    body,
                    line.hasOption("stream"),
                    Long.parseLong(line.getOptionValue("calls")),
                    Integer.parseInt(line.getOptionValue("concurrency")),
                    Long.parseLong(line.getOptionValue("max-seconds", DEFAULT_MAX_SECONDS)));
        } catch (IllegalArgumentException e) {
            throw new ParseException(e.getMessage());
        }
    }

    private static List<String> headers(CommandLine line) throws ParseException {
        List<String> headers = new ArrayList<>();
        if (!line.hasOption("header")) {
            return headers;
        }
        for (String header : line.getOptionValues("header")) {
            int equals = header.indexOf('=');
            if (equals <= 0) {
                throw new ParseException("the header is not of the form name=value: " + header);
            }
            headers.add(header.substring(0, equals) + ": " + header.substring(equals + 1));
        }
        return headers;
    }
}
