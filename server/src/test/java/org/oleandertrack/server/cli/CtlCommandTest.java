package org.oleandertrack.server.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.apache.commons.cli.DefaultParser;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against commands that reach the entry host altered, and against exit codes and output that
 * misreport the host's response.
 */
@Timeout(60)
final class CtlCommandTest {

    private static final String ROWS =
            """
            {"columns":["organisation","program","turn","target"],
             "rows":[["kaasik","review-7",3,"model-1"],
                     ["nadelkreis","plan \\u001b[31m",120,null],
                     ["k","",1,"model-long-name"]]}
            """;
    private static final String REFUSAL =
            """
            {"error":{"code":%d,"name":"%s","message":"why","execution":"%s"}}
            """;

    private final LinkedBlockingQueue<JsonNode> mRequests = new LinkedBlockingQueue<>();
    private HttpServer mServer;
    private int mStatus = 200;
    private String mAnswer = ROWS;

    @BeforeEach
    void startHost() throws IOException {
        mServer = HttpServer.create(loopback(), 0);
        mServer.createContext(
                "/ctl",
                exchange -> {
                    mRequests.add(new ObjectMapper().readTree(exchange.getRequestBody()));
                    byte[] answer = mAnswer.getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(mStatus, answer.length);
                    try (OutputStream body = exchange.getResponseBody()) {
                        body.write(answer);
                    }
                });
        mServer.start();
    }

    @AfterEach
    void stopHost() {
        mServer.stop(0);
    }

    @Test
    void answersAreAsApproved() {
        StringBuilder text = new StringBuilder();
        text.append(run("show", "running").out()).append('\n');
        text.append(run("--output", "json", "show", "running").out()).append('\n');
        mAnswer = "{\"columns\":[\"target\",\"zone\"],\"rows\":[]}";
        text.append(run("show", "targets").out()).append('\n');
        text.append(run("--output", "json", "show", "targets").out()).append('\n');
        mAnswer = "{\"columns\":[\"version\"],\"rows\":[[42]]}";
        text.append(run("drain", "target", "model-1").out());
        Approvals.verify(text.toString());
    }

    @Test
    void commandTextAndOperatorAreSent() throws InterruptedException {
        run("show", "programs", "where", "state=running");
        JsonNode request = mRequests.take();
        assertEquals("show programs where state=running", request.get("command").asText());
        assertEquals(System.getProperty("user.name"), request.get("operator").asText());
        run("end program kaasik \"review 7\"");
        assertEquals("end program kaasik \"review 7\"", mRequests.take().get("command").asText());
        run("--replacing", "41", "drain", "target", "t1");
        assertEquals(
                "drain target t1 replacing version 41", mRequests.take().get("command").asText());
    }

    @Test
    void refusalsEndWithTheExitCodeOfTheirResultCode() {
        assertRefusal(400, 7001, "COMMAND_SYNTAX", ExitCode.COMMAND_SYNTAX);
        assertRefusal(404, 7002, "UNKNOWN_OBJECT", ExitCode.UNKNOWN_OBJECT);
        assertRefusal(400, 7003, "VALUE_OUT_OF_RANGE", ExitCode.VALUE_OUT_OF_RANGE);
        assertRefusal(409, 7004, "VERSION_CONFLICT", ExitCode.VERSION_CONFLICT);
        assertRefusal(503, 5003, "STORE_UNAVAILABLE", ExitCode.PLATFORM_REFUSED);
        assertRefusal(503, 3006, "SHUTTING_DOWN", ExitCode.LIMIT_REACHED);
        assertRefusal(400, 5999, "SOME_LATER_CODE", ExitCode.PLATFORM_REFUSED);
    }

    /** Guards against an operator who repeats a change that the store may already have made. */
    @Test
    void unknownOutcomeIsNotReportedAsNotRun() {
        mStatus = 503;
        mAnswer = REFUSAL.formatted(7005, "CHANGE_OUTCOME_UNKNOWN", "unknown");
        CommandLineRun run = run("drain", "target", "t1");
        assertEquals(ExitCode.CHANGE_OUTCOME_UNKNOWN, run.exit());
        assertEquals(
                "oleandertrack: 7005 CHANGE_OUTCOME_UNKNOWN: why; the command may have taken"
                        + " effect\n",
                run.err());
    }

    /** Guards against a truncated or malformed response that ends with the exit code of success. */
    @Test
    void malformedResponsesEndAsAnswerLost() {
        List<String> answers =
                List.of(
                        "",
                        "ok",
                        "[]",
                        "{}",
                        "{\"rows\":[]}",
                        "{\"columns\":[\"a\"]}",
                        "{\"columns\":[\"a\"],\"rows\":[[1]",
                        "{\"columns\":[\"a\"],\"rows\":[[1",
                        "{\"columns\":[\"a\"],\"rows\":[[1,2]]}",
                        "{\"columns\":[\"a\"],\"rows\":[1]}",
                        "{\"columns\":[\"a\"],\"rows\":{}}");
        for (String answer : answers) {
            mAnswer = answer;
            CommandLineRun run = run("drain", "target", "t1");
            assertEquals(ExitCode.ANSWER_LOST, run.exit(), answer);
            assertEquals("", run.out(), answer);
            assertEquals(1, run.err().lines().count(), answer);
        }
        mStatus = 502;
        mAnswer = "<html>bad gateway</html>";
        assertEquals(ExitCode.ANSWER_LOST, run("drain", "target", "t1").exit());
    }

    @Test
    void hostThatDoesNotListenIsUnreachable() throws IOException {
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        CommandLineRun run = runAt("http://127.0.0.1:" + port, "drain", "target", "t1");
        assertEquals(ExitCode.HOST_UNREACHABLE, run.exit());
        assertTrue(run.err().startsWith("oleandertrack: HOST_UNREACHABLE: http://127.0.0.1:"));
    }

    @Test
    void connectionClosedAfterTheRequestEndsAsAnswerLost() throws Exception {
        try (ServerSocket host = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread accepting =
                    Thread.ofPlatform()
                            .start(
                                    () -> {
                                        try (Socket socket = host.accept()) {
                                            socket.getInputStream().read();
                                        } catch (IOException e) {
                                            throw new IllegalStateException(e);
                                        }
                                    });
            CommandLineRun run =
                    runAt("http://127.0.0.1:" + host.getLocalPort(), "drain", "target", "t1");
            accepting.join();
            assertEquals(ExitCode.ANSWER_LOST, run.exit());
        }
    }

    /** Guards against a command that hangs when the response stalls after its headers. */
    @Test
    void stalledResponseEndsTheCommand() throws IOException {
        CountDownLatch ended = new CountDownLatch(1);
        mServer.createContext(
                "/stalled/ctl",
                exchange -> {
                    exchange.sendResponseHeaders(200, 0);
                    exchange.getResponseBody()
                            .write("{\"columns\":".getBytes(StandardCharsets.UTF_8));
                    exchange.getResponseBody().flush();
                    try {
                        ended.await();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                    exchange.close();
                });
        CtlCommand command = new CtlCommand(Duration.ofMillis(300));
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(err, true, StandardCharsets.UTF_8);
        try {
            ExitCode exit =
                    command.run(
                            new DefaultParser()
                                    .parse(
                                            command.options(),
                                            new String[] {"--url", url() + "/stalled", "show"}),
                            new Console(stream, stream));
            assertEquals(ExitCode.ANSWER_LOST, exit);
        } catch (org.apache.commons.cli.ParseException e) {
            throw new IllegalStateException(e);
        } finally {
            ended.countDown();
        }
    }

    @Test
    void wrongArgumentsAreUsageErrors() {
        assertUsage("ctl", "show", "running");
        assertUsage("ctl", "--url", url());
        assertUsage("ctl", "--url", "http://entry.example:8080", "show", "running");
        assertUsage("ctl", "--url", "127.0.0.1:8080", "show", "running");
        assertUsage("ctl", "--url", url(), "--output", "xml", "show", "running");
        assertUsage("ctl", "--url", url(), "--replacing", "last", "drain", "target", "t1");
        assertUsage("ctl", "--url", url(), "--replacing", "-1", "drain", "target", "t1");
        assertEquals(0, mRequests.size());
    }

    private void assertRefusal(int status, int code, String name, ExitCode exit) {
        mStatus = status;
        mAnswer = REFUSAL.formatted(code, name, "not run");
        CommandLineRun run = run("drain", "target", "t1");
        assertEquals(exit, run.exit());
        assertEquals("oleandertrack: " + code + " " + name + ": why\n", run.err());
        assertEquals("", run.out());
    }

    private static void assertUsage(String... args) {
        CommandLineRun run = CommandLineRun.of(args);
        assertEquals(ExitCode.USAGE, run.exit(), String.join(" ", args));
        assertEquals(1, run.err().lines().count(), run.err());
    }

    private CommandLineRun run(String... args) {
        return runAt(url(), args);
    }

    private static CommandLineRun runAt(String url, String... args) {
        String[] all = new String[args.length + 3];
        all[0] = "ctl";
        all[1] = "--url";
        all[2] = url;
        System.arraycopy(args, 0, all, 3, args.length);
        return CommandLineRun.of(all);
    }

    private String url() {
        return "http://127.0.0.1:" + mServer.getAddress().getPort();
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }
}
