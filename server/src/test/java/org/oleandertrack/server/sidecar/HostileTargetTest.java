package org.oleandertrack.server.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oleandertrack.core.ledger.CacheEvent;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.protocol.message.Call;

/** Tests what the sidecar passes on from a target that does not keep to HTTP. */
@ExtendWith(KnownFailureExtension.class)
final class HostileTargetTest {

    private static final int TIMEOUT_MILLIS = 30_000;
    private static final int BLOCK_BYTES = 16 << 10;
    private static final int LONG_REPORT_BLOCKS = 3_000;

    private final Map<String, OutputStream> mConnectionsByPath = new ConcurrentHashMap<>();
    private ServerSocket mServer;
    private TargetClient mClient;
    private EngineCacheClient mEngine;

    /** Answers one request; {@code socket} is the connection on which it arrived. */
    private interface Responder {

        void respond(String path, Socket socket) throws IOException;
    }

    @BeforeEach
    void start() throws IOException {
        mServer = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        URI target = URI.create("http://127.0.0.1:" + mServer.getLocalPort());
        Supplier<HttpClient> clients =
                () -> HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        mClient = new TargetClient(clients, target, new ObjectMapper());
        mEngine = new EngineCacheClient(clients, target, new ObjectMapper());
    }

    @AfterEach
    void stop() throws IOException {
        mServer.close();
    }

    /**
     * Guards against a late second copy of a response that becomes the response to the next call.
     */
    @Test
    void aLateCopyOfAResponseDoesNotAnswerTheNextCall() throws Exception {
        serve(
                (path, socket) -> {
                    if (path.equals("/2")) {
                        writeIfOpen(mConnectionsByPath.get("/1"), response("first"));
                    }
                    socket.getOutputStream()
                            .write(response(path.equals("/1") ? "first" : "second"));
                });
        FakeInboundCall first = call("/1");
        assertTrue(run(first).isSuccess());
        assertEquals("first", first.responseText());
        FakeInboundCall second = call("/2");
        assertTrue(run(second).isSuccess());
        assertEquals("second", second.responseText());
    }

    /** Guards against a late refusal that fails the next call, which its target ran. */
    @Test
    void aLateCopyOfARefusalDoesNotAnswerTheNextCall() throws Exception {
        byte[] refusal =
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII);
        serve(
                (path, socket) -> {
                    if (path.equals("/2")) {
                        writeIfOpen(mConnectionsByPath.get("/1"), refusal);
                    }
                    socket.getOutputStream()
                            .write(path.equals("/1") ? refusal : response("second"));
                });
        FakeInboundCall first = call("/1");
        run(first);
        assertEquals(503, first.responseHead().getStatus());
        FakeInboundCall second = call("/2");
        assertTrue(run(second).isSuccess());
        assertEquals(200, second.responseHead().getStatus());
        assertEquals("second", second.responseText());
    }

    /** Guards against bytes behind a response that become a part of it. */
    @Test
    void bytesBehindAResponseAreNotPassedOn() throws Exception {
        serve(
                (path, socket) ->
                        socket.getOutputStream().write(concat(response("a"), response("b"))));
        FakeInboundCall call = call("/1");
        assertTrue(run(call).isSuccess());
        assertEquals("a", call.responseText());
        assertEquals(200, call.responseHead().getStatus());
    }

    /** Guards against a status that is none and that a caller gets as an answer. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "0", "20", "099", "600", "999", "+20", "-20", "2O0"})
    void aStatusThatIsNoneIsNotPassedOn(String status) throws Exception {
        byte[] head =
                ("HTTP/1.1 " + status + " X\r\nContent-Length: 6\r\n\r\nanswer")
                        .getBytes(StandardCharsets.US_ASCII);
        serve((path, socket) -> socket.getOutputStream().write(head));
        FakeInboundCall call = call("/1");
        TargetExchange.Outcome outcome = run(call);
        assertFalse(outcome.isSuccess());
        assertEquals(ResultCode.TARGET_FAILED, outcome.code());
        assertNull(call.responseHead());
    }

    /** Guards against a status whose fourth digit the client takes for the reason phrase. */
    @Test
    void aStatusOfFourDigitsIsNotPassedOn() throws Exception {
        aStatusThatIsNoneIsNotPassedOn("2000");
    }

    /** Guards against a head without end that is kept until memory runs out. */
    @Test
    void aHeadWithoutEndFailsTheCall() throws Exception {
        byte[] block = "a".repeat(BLOCK_BYTES).getBytes(StandardCharsets.US_ASCII);
        serve(
                (path, socket) -> {
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\na: ".getBytes(StandardCharsets.US_ASCII));
                    writeWithoutEnd(socket.getOutputStream(), block);
                });
        TargetExchange.Outcome outcome = run(call("/1"));
        assertFalse(outcome.isSuccess());
        assertEquals(ResultCode.TARGET_FAILED, outcome.code());
        assertEquals(Execution.UNKNOWN, outcome.execution());
    }

    /** Guards against headers without end that are kept until memory runs out. */
    @Test
    void headersWithoutEndFailTheCall() throws Exception {
        byte[] block = "a: b\r\n".repeat(1_000).getBytes(StandardCharsets.US_ASCII);
        serve(
                (path, socket) -> {
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\n".getBytes(StandardCharsets.US_ASCII));
                    writeWithoutEnd(socket.getOutputStream(), block);
                });
        TargetExchange.Outcome outcome = run(call("/1"));
        assertFalse(outcome.isSuccess());
        assertEquals(ResultCode.TARGET_FAILED, outcome.code());
        assertEquals(Execution.UNKNOWN, outcome.execution());
    }

    /** Guards against a response without length that is reset and passed on as complete. */
    @Test
    void aResponseWithoutLengthThatIsResetFailsTheCall() throws Exception {
        serve(
                (path, socket) -> {
                    socket.getOutputStream()
                            .write(
                                    "HTTP/1.1 200 OK\r\n\r\npart"
                                            .getBytes(StandardCharsets.US_ASCII));
                    // With a linger time of 0, closing resets the connection.
                    socket.setSoLinger(true, 0);
                    socket.close();
                });
        TargetExchange.Outcome outcome = run(call("/1"));
        assertFalse(outcome.isSuccess());
        assertEquals(ResultCode.TARGET_FAILED, outcome.code());
    }

    /** Guards against a success if the target closes within the head of its response. */
    @Test
    void aHeadThatIsCutOffFailsTheCall() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nServer: t\r\n\r\n";
        serve(
                (path, socket) -> {
                    int cut = Integer.parseInt(path.substring(1));
                    socket.getOutputStream()
                            .write(head.substring(0, cut).getBytes(StandardCharsets.US_ASCII));
                    socket.close();
                });
        for (int cut = 0; cut < head.length(); cut++) {
            assertFalse(run(call("/" + cut)).isSuccess(), head.substring(0, cut));
        }
    }

    /** Guards against a report of an engine that is kept until memory runs out. */
    @Test
    void aLongReportOfAnEngineIsNotKept() throws Exception {
        byte[] block = " ".repeat(BLOCK_BYTES).getBytes(StandardCharsets.US_ASCII);
        serve(
                (path, socket) -> {
                    OutputStream connection = socket.getOutputStream();
                    connection.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    for (int i = 0; i < LONG_REPORT_BLOCKS; i++) {
                        connection.write(block);
                    }
                    connection.write("{\"events\":[]}".getBytes(StandardCharsets.US_ASCII));
                    socket.close();
                });
        CompletableFuture<List<CacheEvent>> events = mEngine.fetchEventsAfter(0);
        assertThrows(
                ExecutionException.class, () -> events.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Guards against a late copy of an engine's report that is read as its next report. */
    @Test
    void aLateCopyOfAReportIsNotTheNextReport() throws Exception {
        AtomicInteger reports = new AtomicInteger();
        AtomicReference<OutputStream> firstConnection = new AtomicReference<>();
        serve(
                (path, socket) -> {
                    firstConnection.compareAndSet(null, socket.getOutputStream());
                    int report = reports.incrementAndGet();
                    if (report > 1) {
                        writeIfOpen(firstConnection.get(), capacity(1));
                    }
                    socket.getOutputStream().write(capacity(report));
                });
        assertEquals(1, mEngine.fetchCapacityTokens().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(2, mEngine.fetchCapacityTokens().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    // Helpers

    private static byte[] capacity(int tokens) {
        return response("{\"cache_capacity_tokens\":" + tokens + "}");
    }

    private static FakeInboundCall call(String path) {
        return new FakeInboundCall(
                Call.newBuilder()
                        .setMethod("GET")
                        .setPath(path)
                        .setTimeoutMillis(TIMEOUT_MILLIS)
                        .build());
    }

    private TargetExchange.Outcome run(FakeInboundCall call) throws Exception {
        return mClient.send(call, rate -> {}).outcome().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void serve(Responder responder) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = mServer.accept();
                                    Thread.ofVirtual().start(() -> serve(socket, responder));
                                }
                            } catch (IOException e) {
                                // The test is over.
                                return;
                            }
                        });
    }

    private void serve(Socket socket, Responder responder) {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                String path = line.split(" ", 3)[1];
                while (!line.isEmpty()) {
                    line = reader.readLine();
                }
                mConnectionsByPath.put(path, socket.getOutputStream());
                responder.respond(path, socket);
            }
        } catch (IOException e) {
            // The client has closed the connection.
            return;
        }
    }

    /** Writes a block again and again until the client closes the connection. */
    private static void writeWithoutEnd(OutputStream connection, byte[] block) throws IOException {
        while (true) {
            connection.write(block);
        }
    }

    private static void writeIfOpen(OutputStream connection, byte[] bytes) {
        try {
            connection.write(bytes);
        } catch (IOException e) {
            // The client has closed the connection, so the bytes can reach nobody.
            return;
        }
    }

    private static byte[] response(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] joined = new byte[first.length + second.length];
        System.arraycopy(first, 0, joined, 0, first.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
