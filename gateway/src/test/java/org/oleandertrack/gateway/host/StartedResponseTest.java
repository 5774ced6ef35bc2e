package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes of a second response behind a response that its caller already has. */
@ExtendWith(KnownFailureExtension.class)
final class StartedResponseTest {

    private static final String FIRST_EVENT = "id: 1\ndata: e1\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: e2\n\n";
    // Over the limit up to which a gateway buffers a body.
    private static final String LONG_BODY = "late".repeat(100_000);

    static Stream<Arguments> answersWithoutEvents() {
        return Stream.of(
                Arguments.of("a short failure", "500 X", "Content-Length: 4\r\n", "late"),
                Arguments.of(
                        "a long failure",
                        "500 X",
                        "Content-Length: " + LONG_BODY.length() + "\r\n",
                        LONG_BODY),
                Arguments.of(
                        "a failure in chunks",
                        "502 X",
                        "Transfer-Encoding: chunked\r\n",
                        "4\r\nlate\r\n0\r\n\r\n"),
                Arguments.of("a failure without length", "500 X", "Connection: close\r\n", "late"),
                Arguments.of("an empty failure", "504 X", "Content-Length: 0\r\n", ""),
                Arguments.of("an overloaded target", "503 X", "Content-Length: 4\r\n", "late"),
                Arguments.of("a client error", "400 X", "Content-Length: 4\r\n", "late"),
                Arguments.of(
                        "a success that is no stream", "200 X", "Content-Length: 4\r\n", "late"),
                Arguments.of("an empty success", "204 X", "", ""));
    }

    /** Breaks off after the first event, then sends the given answer to every later request. */
    private static ScriptedTarget.Script breakingOff(String status, String headers, String body) {
        return (exchange, number) -> {
            if (number == 0) {
                exchange.startStream(FIRST_EVENT);
                exchange.reset();
                return;
            }
            exchange.write(
                    "HTTP/1.1 "
                            + status
                            + "\r\nId: "
                            + exchange.id()
                            + "\r\n"
                            + headers
                            + "\r\n"
                            + body);
            if (headers.startsWith("Connection")) {
                exchange.socket().close();
            }
        };
    }

    private static String stream(TestGateway gateway, String path) throws IOException {
        try (TestClient client = gateway.client()) {
            client.send("POST", path, "r1", "", "prompt");
            return client.readAnswer();
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("answersWithoutEvents")
    void aStreamWhoseNextTargetAnswersWithoutEventsIsBrokenOff(
            String name, String status, String headers, String body) throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(breakingOff(status, headers, body));
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = stream(gateway, "/turn/x");
            assertTrue(answer.contains("e1"), answer);
            assertTrue(answer.endsWith("<closed>"), answer);
            assertFalse(answer.contains("late"), answer);
            assertEquals(2, answer.split("HTTP/1.1", -1).length, answer);
            Awaitility.await().until(() -> gateway.logs().contains("\"result\":\"TARGET_FAILED\""));
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("answersWithoutEvents")
    void aStreamWhoseNextTargetAnswersWithoutEventsGoesOnAtAThirdOne(
            String name, String status, String headers, String body) throws IOException {
        AtomicInteger requests = new AtomicInteger();
        ScriptedTarget.Script script =
                (exchange, number) -> {
                    switch (requests.getAndIncrement()) {
                        case 0 -> breakingOff(status, headers, body).handle(exchange, 0);
                        case 1 -> breakingOff(status, headers, body).handle(exchange, 1);
                        default -> {
                            exchange.startStream(SECOND_EVENT);
                            exchange.endStream();
                        }
                    }
                };
        try (ScriptedTarget first = new ScriptedTarget(script);
                ScriptedTarget second = new ScriptedTarget(script);
                ScriptedTarget third = new ScriptedTarget(script);
                TestGateway gateway = TestGateway.with("engine", first, second, third)) {
            String answer = stream(gateway, "/relay/x");
            assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            assertFalse(answer.contains("late"), answer);
            assertEquals(2, answer.split("HTTP/1.1", -1).length, answer);
            assertEquals(2, answer.split("e1\n", -1).length, answer);
            assertEquals(2, answer.split("e2\n", -1).length, answer);
        }
    }

    /** Answers with a long body that ends early, and completely when it is asked again. */
    private static ScriptedTarget.Script breakingOffBodies(int sentBytes) {
        return (exchange, number) -> {
            exchange.write(
                    "HTTP/1.1 200 X\r\nId: "
                            + exchange.id()
                            + "\r\nContent-Length: "
                            + LONG_BODY.length()
                            + "\r\n\r\n"
                            + LONG_BODY.substring(0, number == 0 ? sentBytes : LONG_BODY.length()));
            if (number == 0) {
                exchange.socket().close();
            }
        };
    }

    @Test
    void aBodyOfWhichAPartWasForwardedIsNotBegunAgain() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(breakingOffBodies(LONG_BODY.length() - 1));
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            client.send("GET", "/safe/x", "r1", "", "");
            String answer = client.readAnswer();
            assertTrue(answer.endsWith("<closed>"), "the end looks complete");
            assertTrue(answer.length() < 2 * LONG_BODY.length(), answer.length() + " bytes");
            assertEquals(1, target.requests().size());
        }
    }

    @Test
    void aBodyOfWhichNothingWasForwardedIsRequestedAgain() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(breakingOffBodies(1_000));
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            client.send("GET", "/safe/x", "r1", "", "");
            String answer = client.readAnswer();
            assertTrue(answer.endsWith("0\r\n\r\n"), "the response is not complete");
            assertEquals(2, target.requests().size());
        }
    }

    /** Guards against a sound body that is cut because it takes longer than a silent target may. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 300_000})
    void aBodyThatArrivesSlowlyIsNotCut(int firstBytes) throws IOException {
        int parts = 20;
        String part = "0123456789";
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.write(
                                            "HTTP/1.1 200 X\r\nId: "
                                                    + exchange.id()
                                                    + "\r\nContent-Length: "
                                                    + (firstBytes + parts * part.length())
                                                    + "\r\n\r\n"
                                                    + LONG_BODY.substring(0, firstBytes));
                                    for (int i = 0; i < parts; i++) {
                                        exchange.pauseMillis(60);
                                        exchange.write(part);
                                    }
                                });
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            client.send("GET", "/safe/x", "r1", "", "");
            String answer = client.readAnswer();
            assertFalse(answer.endsWith("<closed>"), "the response was cut");
            assertEquals(parts, answer.split(part, -1).length - 1);
            assertEquals(1, target.requests().size());
        }
    }

    /** Breaks off the first request after some events, answers the second, completes later ones. */
    private static ScriptedTarget.Script inOrder(
            AtomicInteger requests, String events, String secondAnswer) {
        return (exchange, number) -> {
            switch (requests.getAndIncrement()) {
                case 0 -> {
                    if (!events.isEmpty()) {
                        exchange.startStream(events);
                    }
                    exchange.reset();
                }
                case 1 -> exchange.write(secondAnswer.replace("ID", exchange.id()));
                default -> {
                    exchange.startStream(SECOND_EVENT);
                    exchange.endStream();
                }
            }
        };
    }

    @ParameterizedTest
    @ValueSource(strings = {"", FIRST_EVENT})
    void aTargetThatIsFullOnASecondSendDoesNotLetAFurtherTargetRunTheRequest(String events)
            throws IOException {
        ScriptedTarget.Script script =
                inOrder(
                        new AtomicInteger(),
                        events,
                        "HTTP/1.1 503 X\r\nId: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        try (ScriptedTarget first = new ScriptedTarget(script);
                ScriptedTarget second = new ScriptedTarget(script);
                TestGateway gateway = TestGateway.with("engine", first, second)) {
            String answer = stream(gateway, "/turn/x");
            assertFalse(answer.contains("e2"), answer);
            assertTrue(
                    events.isEmpty()
                            ? answer.contains("\"execution\":\"unknown\"")
                            : answer.endsWith("<closed>"),
                    answer);
            assertTrue(first.requests().isEmpty() || second.requests().isEmpty());
        }
    }

    @Test
    void aTargetThatHasEndedLetsAnotherTargetRunTheRequest() throws IOException {
        ScriptedTarget.Script script =
                inOrder(
                        new AtomicInteger(),
                        FIRST_EVENT,
                        "HTTP/1.1 421 X\r\nId: ID\r\nContent-Length: 0\r\n\r\n");
        try (ScriptedTarget first = new ScriptedTarget(script);
                ScriptedTarget second = new ScriptedTarget(script);
                TestGateway gateway = TestGateway.with("engine", first, second)) {
            String answer = stream(gateway, "/turn/x");
            assertTrue(answer.contains("e2"), answer);
            assertTrue(answer.endsWith("0\r\n\r\n"), answer);
        }
    }

    @Test
    void theLogNamesTheTargetsThatAnsweredACall() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(breakingOff("500 X", "Content-Length: 4\r\n", "late"));
                TestGateway gateway = TestGateway.with("engine", target)) {
            var _ = stream(gateway, "/turn/x");
            Awaitility.await().until(() -> gateway.logs().contains("\"answered\""));
            assertTrue(gateway.logs().contains("\"target answered\""), gateway.logs());
            assertTrue(gateway.logs().contains("\"responseStarted\":true"), gateway.logs());
        }
    }
}
