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
import org.oleandertrack.server.cli.CtlResponseReader.Refusal;
import org.oleandertrack.server.settings.HttpUrlValidator;

/**
 * Sub-command {@code ctl}, which sends a statement of the operators' command language to an entry
 * host and prints the result.
 */
final class CtlCommand implements SubCommand {

    private static final String URL = "url";
    private static final String OUTPUT = "output";
    private static final String REPLACING = "replacing";
    private static final String TABLE = "table";
    private static final String JSON = "json";
    private static final Pattern VERSION = Pattern.compile("\\d{1,18}");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final int HTTP_OK = 200;

    private final Duration mResponseTimeout;
    private final CtlResponseReader mReader = new CtlResponseReader();

    /**
     * Creates the command.
     *
     * @param responseTimeout timeout for the response headers, and again for the complete response
     */
    CtlCommand(Duration responseTimeout) {
        mResponseTimeout = responseTimeout;
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
                        Arguments.requiredOption(
                                URL, "URL", "An entry host, such as http://10.0.0.1:8080."))
                .addOption(
                        Arguments.optionalOption(
                                OUTPUT, "FORMAT", "table (the default) or json: a line per row."))
                .addOption(
                        Arguments.optionalOption(
                                REPLACING, "N", "Refuse the change unless version N is in force."));
    }

    // Operations

    @Override
    public ExitCode run(CommandLine line, Console console) {
        URI uri = ctlUri(line.getOptionValue(URL));
        CtlOutput output = createOutput(line.getOptionValue(OUTPUT, TABLE), console);
        String body =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("command", commandText(line))
                        .put("operator", System.getProperty("user.name"))
                        .toString();
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(mResponseTimeout)
                        .header("Content-Type", "application/json")
                        .POST(BodyPublishers.ofString(body))
                        .build();
        try {
            return send(request, output, console);
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return printFailure(console, ExitCode.HOST_UNREACHABLE, uri + ": cannot connect");
        } catch (IOException e) {
            return printFailure(
                    console,
                    ExitCode.ANSWER_LOST,
                    uri + ": no readable answer; the command may have taken effect");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return printFailure(console, ExitCode.ANSWER_LOST, uri + ": interrupted");
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
                closeAfterTimeout(body);
                if (response.statusCode() == HTTP_OK) {
                    mReader.readRows(body, output);
                    return ExitCode.SUCCESS;
                }
                return printRefusal(mReader.readRefusal(body), console);
            }
        }
    }

    // The timeout of the HTTP request covers only the response headers, so the body needs its own.
    private void closeAfterTimeout(InputStream body) {
        CompletableFuture.delayedExecutor(mResponseTimeout.toMillis(), TimeUnit.MILLISECONDS)
                .execute(
                        () -> {
                            try {
                                body.close();
                            } catch (IOException e) {
                                // Reading from the closed body fails and is reported there.
                            }
                        });
    }

    private static ExitCode printRefusal(Refusal refusal, Console console) {
        String effect = refusal.isNotRun() ? "" : "; the command may have taken effect";
        console.err()
                .println(
                        "%s: %d %s: %s%s"
                                .formatted(
                                        HelpPrinter.EXECUTABLE_NAME,
                                        refusal.code(),
                                        refusal.name(),
                                        refusal.message(),
                                        effect));
        return ExitCode.ofNumber(refusal.code());
    }

    private static ExitCode printFailure(Console console, ExitCode code, String message) {
        console.err().println(HelpPrinter.EXECUTABLE_NAME + ": " + code + ": " + message);
        return code;
    }

    private static URI ctlUri(String url) {
        if (!HttpUrlValidator.isHttpUrl(url)) {
            throw Arguments.usageError(
                    "--url " + url + ": not an http URL whose host is an IP number");
        }
        return URI.create(url.endsWith("/") ? url + "ctl" : url + "/ctl");
    }

    private static CtlOutput createOutput(String format, Console console) {
        return switch (format) {
            case TABLE -> new TableOutput(console.out());
            case JSON -> new JsonLinesOutput(console.out());
            default ->
                    throw Arguments.usageError("--output " + format + ": not one of table, json");
        };
    }

    private static String commandText(CommandLine line) {
        String command = String.join(" ", line.getArgList());
        if (command.isBlank()) {
            throw Arguments.usageError("ctl needs a COMMAND");
        }
        String version = line.getOptionValue(REPLACING);
        if (version == null) {
            return command;
        }
        if (!VERSION.matcher(version).matches()) {
            throw Arguments.usageError("--replacing " + version + ": not a version number");
        }
        return command + " replacing version " + version;
    }
}
