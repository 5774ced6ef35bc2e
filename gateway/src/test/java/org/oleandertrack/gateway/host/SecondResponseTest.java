package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against second responses of a target that count for the next request. */
final class SecondResponseTest {

    private static String post(TestClient client, String id) throws IOException {
        client.send("POST", "/unsafe/x", id, "", "body");
        return client.readAnswer();
    }

    /** Answers each request; before the second answer on a connection it sends the given bytes. */
    private static ScriptedTarget.Script sendingBeforeSecondAnswer(String bytes) {
        return (exchange, number) -> {
            if (exchange.isLaterOnConnection()) {
                exchange.write(bytes);
            }
            exchange.answer(200, "", "ran " + exchange.id());
        };
    }

    /** Guards against a request that runs at a second target while it runs at the first one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
                "HTTP/1.1 429 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            })
    void aRefusalWithoutIdBehindAResponseDoesNotRefuseTheNextRequest(String refusal)
            throws IOException {
        ScriptedTarget.Script script = sendingBeforeSecondAnswer(refusal);
        try (ScriptedTarget first = new ScriptedTarget(script);
                ScriptedTarget second = new ScriptedTarget(script);
                TestGateway gateway = TestGateway.with("tool", first, second);
                TestClient client = gateway.client()) {
            int requestCount = 8;
            int failureCount = 0;
            for (int i = 0; i < requestCount; i++) {
                String answer = post(client, "r" + i);
                boolean isFailure = answer.startsWith("HTTP/1.1 502");
                assertTrue(isFailure || answer.endsWith("ran r" + i), answer);
                failureCount += isFailure ? 1 : 0;
            }
            assertTrue(failureCount > 0, "no connection was reused");
            assertEquals(requestCount, first.requests().size() + second.requests().size());
        }
    }

    /** Guards against the head of a second response that is forwarded as an event. */
    @ParameterizedTest
    @ValueSource(strings = {"", "id: 2\ndata: b"})
    void aSecondResponseBehindAStreamWithoutLengthIsNotForwarded(String unfinished)
            throws IOException {
        String head = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\n";
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.write(head + "id: 1\ndata: a\n\n" + unfinished);
                                    exchange.write(head + "id: 1\ndata: a\n\n");
                                    exchange.socket().close();
                                });
                TestGateway gateway = TestGateway.with("engine", target);
                TestClient client = gateway.client()) {
            client.send("POST", "/talk/x", "r1", "", "prompt");
            String answer = client.readAnswer();
            assertTrue(answer.endsWith("<closed>"), answer);
            assertEquals(2, answer.split("data: a", -1).length, answer);
            assertEquals(2, answer.split("HTTP/1.1", -1).length, answer);
        }
    }

    /** Guards against the start of a second response that is decoded with the next response. */
    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nId: r1\r\n", "\r\n"})
    void aConnectionWithBytesBehindAResponseIsNotReused(String start) throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.write(
                                                "HTTP/1.1 200 OK\r\nId: "
                                                        + exchange.id()
                                                        + "\r\nContent-Length: 3\r\n\r\nran"
                                                        + start));
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            for (int i = 0; i < 4; i++) {
                String answer = post(client, "r" + i);
                assertTrue(answer.endsWith("ran"), answer);
            }
        }
    }

    @Test
    void aConnectionOnWhichAResponseBeginsUnaskedIsClosed() throws IOException {
        CountDownLatch answered = new CountDownLatch(1);
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.answer(200, "", "ran");
                                    TestGateway.awaitLatch(answered);
                                    exchange.write("HTTP/1.1 200 OK\r\n");
                                    exchange.awaitPeerClose();
                                });
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            assertTrue(post(client, "r0").endsWith("ran"));
            answered.countDown();
            Awaitility.await().until(() -> target.closedByPeer().size() == 1);
        }
    }

    /** Guards against a success that reaches a caller whose target has answered with a failure. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 421 X\r\n",
                "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n",
                "HTTP/1.1 500 X\r\n",
                "HTTP/1.1 404 X\r\n"
            })
    void aSecondResponseDoesNotReplaceAResponseWithoutId(String head) throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (exchange.isLaterOnConnection()) {
                                        exchange.write(head + "Content-Length: 0\r\n\r\n");
                                        exchange.answer(200, "", "second");
                                        return;
                                    }
                                    exchange.answer(200, "", "ran");
                                });
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            assertTrue(post(client, "r0").endsWith("ran"));
            String answer = post(client, "r1");
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        }
    }
}
