package org.oleandertrack.server.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.oleandertrack.server.cli.CtlAnswerReader.Refusal;
import org.oleandertrack.server.settings.HttpUrlValidator;

/** Sends a statement of the operators' language to an entry host and prints the answer. */
final class CtlCommand implements SubCommand {

    private static final String URL = "url";
    private static final String OUTPUT = "output";
    private static final String REPLACING = "replacing";
    private static final String TABLE = "table";
    private static final String JSON = "json";
    private static final Pattern VERSION = Pattern.compile("\\d{1,18}");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final int HTTP_OK = 200;

    private final Duration mAnswerTimeout;
    private final CtlAnswerReader mReader = new CtlAnswerReader();

    /**
     * Creates the command.
     *
     * @param answerTimeout time allowed for the answer to begin, and again for it to be complete
     */
    CtlCommand(Duration answerTimeout) {
        mAnswerTimeout = answerTimeout;
    }

    // Accessors

    @Override
    public String name() {
        return "ctl";
    }

    @Override
    public String summary() {
        return "Send a query or command to an entry host.";
    }

    @Override
    public String usage() {
        return "--url URL [--output table|json] [--replacing N] COMMAND...";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        Arguments.required(
                                URL, "URL", "An entry host, such as http://10.0.0.1:8080."))
                .addOption(
                        Arguments.optional(
                                OUTPUT, "FORMAT", "table (the default) or json: a line per row."))
                .addOption(
                        Arguments.optional(
                                REPLACING, "N", "Refuse the change unless version N is in force."));
    }

    // Operations

    @Override
    public ExitCode run(CommandLine line, Console console) {
        URI uri = ctlUri(line.getOptionValue(URL));
        CtlOutput output = output(line.getOptionValue(OUTPUT, TABLE), console);
        String body =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("command", commandText(line))
                        .put("operator", System.getProperty("user.name"))
                        .toString();
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(mAnswerTimeout)
                        .header("Content-Type", "application/json")
                        .POST(BodyPublishers.ofString(body))
                        .build();
        try {
            return send(request, output, console);
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return fail(console, ExitCode.HOST_UNREACHABLE, uri + ": cannot connect");
        } catch (IOException e) {
            return fail(
                    console,
                    ExitCode.ANSWER_LOST,
                    uri + ": no readable answer; the command may have taken effect");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return fail(console, ExitCode.ANSWER_LOST, uri + ": interrupted");
        }
    }

    // Helpers

    private ExitCode send(HttpRequest request, CtlOutput output, Console console)
            throws IOException, InterruptedException {
        try (HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build()) {
            HttpResponse<InputStream> response = client.send(request, BodyHandlers.ofInputStream());
            try (InputStream body = response.body()) {
                closeLater(body);
                if (response.statusCode() == HTTP_OK) {
                    mReader.readRows(body, output);
                    return ExitCode.SUCCESS;
                }
                return refused(mReader.readRefusal(body), console);
            }
        }
    }

    // The request's timeout ends with the head of the answer and does not bound its body.
    private void closeLater(InputStream body) {
        CompletableFuture.delayedExecutor(mAnswerTimeout.toMillis(), TimeUnit.MILLISECONDS)
                .execute(
                        () -> {
                            try {
                                body.close();
                            } catch (IOException e) {
                                // The reader reports the closed body.
                            }
                        });
    }

    private static ExitCode refused(Refusal refusal, Console console) {
        String effect = refusal.isNotRun() ? "" : "; the command may have taken effect";
        console.err()
                .println(
                        "%s: %d %s: %s%s"
                                .formatted(
                                        HelpPrinter.PROGRAM,
                                        refusal.code(),
                                        refusal.name(),
                                        refusal.message(),
                                        effect));
        return ExitCode.ofNumber(refusal.code());
    }

    private static ExitCode fail(Console console, ExitCode code, String message) {
        console.err().println(HelpPrinter.PROGRAM + ": " + code + ": " + message);
        return code;
    }

    private static URI ctlUri(String url) {
        if (!HttpUrlValidator.isHttpUrl(url)) {
            throw Arguments.usage("--url " + url + ": not an http URL whose host is an IP number");
        }
        return URI.create(url.endsWith("/") ? url + "ctl" : url + "/ctl");
    }

    private static CtlOutput output(String format, Console console) {
        return switch (format) {
            case TABLE -> new TableOutput(console.out());
            case JSON -> new JsonLinesOutput(console.out());
            default -> throw Arguments.usage("--output " + format + ": not one of table, json");
        };
    }

    private static String commandText(CommandLine line) {
        String command = String.join(" ", line.getArgList());
        if (command.isBlank()) {
            throw Arguments.usage("ctl needs a COMMAND");
        }
        String version = line.getOptionValue(REPLACING);
        if (version == null) {
            return command;
        }
        if (!VERSION.matcher(version).matches()) {
            throw Arguments.usage("--replacing " + version + ": not a version number");
        }
        return command + " replacing version " + version;
    }
}
