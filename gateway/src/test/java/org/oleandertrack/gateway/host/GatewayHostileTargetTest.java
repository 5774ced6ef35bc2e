package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against targets in trouble that harm other requests: bytes without end, late second copies
 * of responses, and streams that never end.
 */
final class GatewayHostileTargetTest {

    private static final String KILOBYTE = "x".repeat(1_024);
    // A gateway buffers at most 256 KB of one response; the rest is in buffers of the sockets.
    private static final int BUFFERED_KILOBYTES = 8 * 1_024;
    // Far more than a gateway may buffer for one response.
    private static final int MANY_KILOBYTES = 32 * 1_024;
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\n\r\n";
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    // Line feeds and the size of a chunk of up to 15 bytes.
    private static final int CHUNK_OVERHEAD_BYTES = 5;

    /** Writes bytes until the peer closes the connection; counts the kilobytes written. */
    private static ScriptedTarget.Script endless(String head, String line, AtomicLong written) {
        return (exchange, number) -> {
            exchange.write(head.replace("ID", exchange.id()));
            for (int i = 0; i < MANY_KILOBYTES; i++) {
                exchange.write(line);
                written.incrementAndGet();
            }
            exchange.awaitPeerClose();
        };
    }

    private static String answer(TestGateway gateway, String path) throws IOException {
        try (TestClient client = gateway.client()) {
            client.send("POST", path, "r1", "", "body");
            return client.readAnswer();
        }
    }

    @Test
    void aHeadWithoutEndIsCutOff() throws IOException {
        AtomicLong written = new AtomicLong();
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                endless("HTTP/1.1 200 OK\r\nId: ID\r\nLong: ", KILOBYTE, written));
                TestGateway gateway = TestGateway.with("tool", target)) {
            String answer = answer(gateway, "/unsafe/x");
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertTrue(answer.contains("\"execution\":\"unknown\""), answer);
            assertTrue(written.get() < MANY_KILOBYTES, written + " KB were read");
        }
    }

    @Test
    void anEventWithoutEndIsCutOff() throws IOException {
        AtomicLong written = new AtomicLong();
        String head =
                "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\n\r\n"
                        + "id: 1\ndata: a\n\nid: 2\ndata: ";
        try (ScriptedTarget target = new ScriptedTarget(endless(head, KILOBYTE, written));
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = answer(gateway, "/talk/x");
            assertTrue(answer.contains("data: a"), answer);
            assertTrue(answer.endsWith("<closed>"), answer);
            assertFalse(answer.contains("xxxx"), "a part of an event was forwarded");
            assertTrue(written.get() < BUFFERED_KILOBYTES, written + " KB were read");
            assertTrue(gateway.logs().contains("\"reason\":\"malformed\""));
        }
    }

    /** Guards against lines without content that count as events and are forwarded one by one. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", ":\n\n"})
    void aStreamThatGoesOnWithoutEventsIsCutOff(String line) throws IOException {
        AtomicLong written = new AtomicLong();
        String head = STREAM_HEAD + FIRST_EVENT;
        String kilobyte = line.repeat(1_024 / line.length());
        try (ScriptedTarget target = new ScriptedTarget(endless(head, kilobyte, written));
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = answer(gateway, "/talk/x");
            assertTrue(answer.contains("data: a"), answer);
            assertTrue(answer.endsWith("<closed>"), answer);
            assertTrue(written.get() < BUFFERED_KILOBYTES, written + " KB were read");
            assertTrue(gateway.logs().contains("\"reason\":\"malformed\""));
        }
    }

    /** Guards against a write to the caller for each of many events that arrive together. */
    @Test
    void eventsThatArriveTogetherAreWrittenTogether() throws IOException {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= 1_000; i++) {
            events.append("id: ").append(i).append("\ndata: a\n\n");
        }
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(events.toString());
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = answer(gateway, "/talk/x");
            assertEquals(1_000, answer.split("data: a\n\n", -1).length - 1);
            int chunks = (answer.length() - events.length()) / CHUNK_OVERHEAD_BYTES;
            assertTrue(chunks < 100, chunks + " chunks");
        }
    }

    @Test
    void aRefusalWithoutEndCountsAsRefusal() throws IOException {
        AtomicLong written = new AtomicLong();
        String head =
                "HTTP/1.1 503 X\r\nId: ID\r\nNot-Executed: 1\r\nContent-Length: 999999999\r\n\r\n";
        try (ScriptedTarget refusing = new ScriptedTarget(endless(head, KILOBYTE, written));
                TestGateway gateway = TestGateway.with("tool", refusing)) {
            String answer = answer(gateway, "/unsafe/x");
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("\"execution\":\"not run\""), answer);
            assertTrue(written.get() < MANY_KILOBYTES, written + " KB were read");
        }
    }

    @Test
    void otherRequestsAreAnsweredBesideAnEndlessOne() throws IOException {
        AtomicLong written = new AtomicLong();
        String head = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 999999999\r\n\r\n";
        try (ScriptedTarget endless = new ScriptedTarget(endless(head, KILOBYTE, written));
                ScriptedTarget engine =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream("id: 1\ndata: a\n\n");
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("tool", endless);
                TestClient slowReader = gateway.client()) {
            gateway.register("e0", "engine", engine.port(), false);
            gateway.awaitTargets(2);
            slowReader.send("POST", "/unsafe/x", "r0", "", "body");
            Awaitility.await().until(() -> written.get() > 1_000);
            for (int i = 0; i < 20; i++) {
                assertTrue(answer(gateway, "/turn/x").endsWith("0\r\n\r\n"));
            }
        }
    }

    /**
     * Guards against a late second copy of a refusal that makes the next request on the connection
     * look as if it had not run.
     */
    @Test
    void aLateCopyOfARefusalWithoutIdDoesNotRefuseTheNextRequest() throws IOException {
        String refusal = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number == 0) {
                                        exchange.write(refusal);
                                        return;
                                    }
                                    if (exchange.isLaterOnConnection()) {
                                        exchange.write(refusal);
                                    }
                                    exchange.answer(200, "", "ran");
                                });
                TestGateway gateway = TestGateway.with("tool", target)) {
            assertTrue(answer(gateway, "/unsafe/x").startsWith("HTTP/1.1 503"));
            assertTrue(answer(gateway, "/unsafe/x").endsWith("ran"));
            assertEquals(2, target.requests().size());
        }
    }

    /** Guards against a second copy of a refusal that hides that the next request runs. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 30, 60})
    void aLateCopyOfARefusalWithIdDoesNotRefuseTheNextRequest(int splitAt) throws IOException {
        String refusal =
                "HTTP/1.1 503 X\r\nId: r0\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number == 0) {
                                        exchange.write(refusal);
                                        return;
                                    }
                                    if (exchange.isLaterOnConnection()) {
                                        exchange.write(refusal.substring(0, splitAt));
                                        exchange.write(refusal.substring(splitAt));
                                    }
                                    exchange.answer(200, "", "ran");
                                });
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            client.send("POST", "/unsafe/x", "r0", "", "body");
            assertTrue(client.readAnswer().startsWith("HTTP/1.1 503"));
            client.send("POST", "/unsafe/x", "r1", "", "body");
            assertTrue(client.readAnswer().endsWith("ran"));
            assertEquals(2, target.requests().size());
        }
    }

    /** Guards against a copy of a refusal after a response that lets the next request look new. */
    @Test
    void aRefusalBehindAResponseBelongsToNoRequest() throws IOException {
        String refusal =
                "HTTP/1.1 503 X\r\nId: ID\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.answer(200, "", "ran" + number);
                                    exchange.write(refusal.replace("ID", exchange.id()));
                                });
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            for (int i = 0; i < 5; i++) {
                client.send("POST", "/unsafe/x", "r" + i, "", "body");
                String answer = client.readAnswer();
                assertTrue(answer.endsWith("ran" + i) || answer.startsWith("HTTP/1.1 502"), answer);
                assertFalse(answer.contains("\"execution\":\"not run\""), answer);
            }
        }
    }

    @Test
    void aLateCopyOfAResponseDoesNotReachTheNextCaller() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number > 0 && exchange.isLaterOnConnection()) {
                                        exchange.write(
                                                "HTTP/1.1 200 OK\r\nId: r0\r\n"
                                                        + "Content-Length: 4\r\n\r\nold0");
                                    }
                                    exchange.answer(200, "", "new" + number);
                                });
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            for (int i = 0; i < 3; i++) {
                client.send("POST", "/unsafe/x", "r" + i, "", "body");
                assertTrue(client.readAnswer().endsWith("new" + i));
            }
        }
    }

    /** Guards against an endless response that is read because its caller was slow before it. */
    @Test
    void aResponseToACallerThatHasNotReadTheLastOnesIsNotRead() throws IOException {
        AtomicLong written = new AtomicLong();
        String head = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 999999999\r\n\r\n";
        ScriptedTarget.Script endless = endless(head, KILOBYTE, written);
        int earlier = 60;
        String large = KILOBYTE.repeat(250);
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number < earlier) {
                                        exchange.answer(200, "Connection: close\r\n", large);
                                        return;
                                    }
                                    endless.handle(exchange, number);
                                });
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            for (int i = 0; i <= earlier; i++) {
                client.send("POST", "/unsafe/x", "r" + i, "", "body");
            }
            Awaitility.await()
                    .until(
                            () ->
                                    gateway.logs().contains("\"TARGET_TIMEOUT\"")
                                            || written.get() == MANY_KILOBYTES);
            assertTrue(written.get() < MANY_KILOBYTES, written + " KB were read");
        }
    }

    /**
     * Guards against a connection that is not read for a caller because the one before was slow.
     */
    @Test
    void aRequestAfterThoseOfASlowCallerIsAnswered() throws IOException {
        String large = KILOBYTE.repeat(250);
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.answer(
                                                200,
                                                "Keep-Alive: timeout=60\r\n",
                                                exchange.id().startsWith("slow")
                                                        ? large
                                                        : "small"));
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient slow = gateway.client();
                TestClient client = gateway.client()) {
            boolean full = false;
            for (int i = 0; i < 60 && !full; i++) {
                int answers = 2 * i + 1;
                slow.send("POST", "/unsafe/x", "slow" + i, "", "body");
                Awaitility.await()
                        .until(() -> gateway.logs().split("\"answered\"", -1).length > answers);
                full = gateway.logs().contains("\"TARGET_TIMEOUT\"");
                client.send("POST", "/unsafe/x", "r" + i, "", "body");
                String answer = client.readAnswer();
                assertTrue(answer.endsWith("small"), answer);
            }
        }
    }

    /** Guards against a slow caller whose target is taken for silent and replaced. */
    @Test
    void aTargetWhoseCallerDoesNotReadIsNotTakenForSilent() throws IOException {
        AtomicLong written = new AtomicLong();
        String events = FIRST_EVENT + "id: 2\ndata: " + KILOBYTE + "\n\n";
        ScriptedTarget.Script script = endless(STREAM_HEAD, events, written);
        try (ScriptedTarget first = new ScriptedTarget(script);
                ScriptedTarget second = new ScriptedTarget(script);
                TestGateway gateway = TestGateway.with("engine", first, second);
                TestClient client = gateway.client()) {
            client.send("POST", "/turn/x", "r0", "", "body");
            Awaitility.await().until(() -> gateway.logs().contains("\"answered\""));
            assertEquals(1, first.requests().size() + second.requests().size());
            assertFalse(gateway.logs().contains("\"target stalled\""));
        }
    }

    /** Guards against a stream that is kept alive for ever by bytes that complete no event. */
    @Test
    void aStreamThatTricklesBytesEndsByItsDeadline() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream("id: 1\ndata: a\n\n", "id: 2\ndata: ");
                                    while (true) {
                                        exchange.chunk("x");
                                        exchange.socket().setSoTimeout(50);
                                        try {
                                            if (exchange.socket().getInputStream().read() < 0) {
                                                return;
                                            }
                                        } catch (java.net.SocketTimeoutException e) {
                                            // The gateway has not closed the connection yet.
                                        }
                                    }
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = answer(gateway, "/talk/x");
            assertTrue(answer.contains("data: a"), answer);
            assertTrue(answer.endsWith("<closed>"), answer);
        }
    }
}
