package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams with missing, repeated or mixed events, and against overspent budgets. */
final class GatewayStreamTest {

    private static final String TURN = "Program: p\r\nBudget: 50\r\n";

    private static String event(int id) {
        return "id: " + id + "\ndata: e" + id + "\n\n";
    }

    private static String stream(TestGateway gateway, String headers) throws IOException {
        try (TestClient client = gateway.client()) {
            client.send("POST", "/turn/x", "r1", headers, "prompt");
            return client.readAnswer();
        }
    }

    @Test
    void eventsArriveInOrderAndTheStreamEnds() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(event(1), event(2) + event(3));
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = stream(gateway, "");
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            assertTrue(
                    answer.indexOf("e1") < answer.indexOf("e2")
                            && answer.indexOf("e2") < answer.indexOf("e3"),
                    answer);
            assertFalse(answer.contains("<closed>"), answer);
        }
    }

    @Test
    void aStreamThatFailsWithinAnEventResumesAfterTheLastCompleteOne() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number == 0) {
                                        exchange.startStream(event(1), "id: 2\ndata: br");
                                        exchange.reset();
                                        return;
                                    }
                                    exchange.startStream(event(2), event(3));
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = stream(gateway, "");
            assertFalse(answer.contains("br"), answer);
            assertEquals(2, answer.split("e1\n", -1).length, answer);
            assertEquals(2, answer.split("e2\n", -1).length, answer);
            assertFalse(answer.contains("<closed>"), answer);
            assertEquals("1", ScriptedTarget.header(target.requests().get(1), "Resume-After"));
        }
    }

    /** Writes a stream that has neither a length nor chunks, and ends its connection. */
    private static void endWithConnection(ScriptedTarget.Exchange exchange, String events)
            throws IOException {
        exchange.write(
                "HTTP/1.1 200 OK\r\nId: "
                        + exchange.id()
                        + "\r\nContent-Type: text/event-stream\r\n\r\n"
                        + events);
        exchange.socket().close();
    }

    @Test
    void aStreamThatEndsWithItsConnectionBetweenEventsIsComplete() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        endWithConnection(exchange, event(1) + event(2)));
                TestGateway gateway = TestGateway.with("engine", target)) {
            for (int i = 0; i < 2; i++) {
                String answer = stream(gateway, "");
                assertTrue(answer.contains("e2"), answer);
                assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            }
            assertEquals(2, target.requests().size());
        }
    }

    /** Guards against a stream that broke off and counts as complete because it has no length. */
    @ParameterizedTest
    @ValueSource(strings = {"id: 2", "id: 2\ndata: br", "id: 2\ndata: br\n", "id: 2\r\n"})
    void aStreamThatEndsWithItsConnectionWithinAnEventIsResumed(String part) throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        endWithConnection(
                                                exchange,
                                                number == 0
                                                        ? event(1) + part
                                                        : event(2) + event(3)));
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = stream(gateway, "");
            assertFalse(answer.contains("br"), answer);
            assertEquals(2, answer.split("e1\n", -1).length, answer);
            assertEquals(2, answer.split("e2\n", -1).length, answer);
            assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            assertEquals("1", ScriptedTarget.header(target.requests().get(1), "Resume-After"));
        }
    }

    @Test
    void aStreamWithoutLengthThatIsResetBetweenEventsIsResumed() throws IOException {
        CountDownLatch forwarded = new CountDownLatch(1);
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number > 0) {
                                        endWithConnection(exchange, event(2));
                                        return;
                                    }
                                    exchange.write(
                                            "HTTP/1.1 200 OK\r\nId: r1\r\n"
                                                    + "Content-Type: text/event-stream\r\n\r\n"
                                                    + event(1));
                                    TestGateway.awaitLatch(forwarded);
                                    exchange.reset();
                                });
                TestGateway gateway = TestGateway.with("engine", target);
                TestClient client = gateway.client()) {
            client.send("POST", "/turn/x", "r1", "", "prompt");
            client.readUntil("e1");
            forwarded.countDown();
            String rest = client.readUntil("0\r\n\r\n");
            assertTrue(rest.contains("e2"), rest);
            assertFalse(rest.endsWith("<closed>"), rest);
        }
    }

    @Test
    void aStreamThatCannotBeCompletedEndsWithAClosedConnection() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(event(1));
                                    exchange.awaitPeerClose();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = stream(gateway, "");
            assertTrue(answer.contains("e1"), answer);
            assertTrue(answer.endsWith("<closed>"), answer);
        }
    }

    @Test
    void aTurnBeyondTheBudgetIsRefusedAsNotRun() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(event(1), event(2), event(3), event(4));
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            int completeStreams = 0;
            String answer = stream(gateway, TURN);
            while (answer.startsWith("HTTP/1.1 200")) {
                completeStreams++;
                answer = stream(gateway, TURN);
            }
            assertTrue(answer.startsWith("HTTP/1.1 402"), answer);
            assertTrue(answer.contains("\"execution\":\"not run\""), answer);
            assertEquals(2, completeStreams);
            assertEquals(2, target.requests().size());
        }
    }

    @Test
    void aTurnOfANewProgramIsRefusedAsNotRunDuringAStoreOutage() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(event(1));
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            gateway.store().setUnavailable(true);
            try (TestClient client = gateway.client()) {
                client.send("POST", "/turn/x", "r1", TURN, "prompt");
                String answer = client.readAnswer();
                assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
                assertTrue(answer.contains("\"execution\":\"not run\""), answer);
            }
            assertEquals(0, target.requests().size());
        }
    }

    @Test
    void anUnansweredReservationFallsBackToTheOutageAllowance() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(event(1));
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            String begun = "Program: p\r\nBudget: 80\r\n";
            assertTrue(stream(gateway, begun).contains("e1"));
            assertFalse(gateway.logs().contains("\"outageAllowance\":true"));
            gateway.store().setUnresponsive(true);
            assertTrue(stream(gateway, begun).contains("e1"));
            // The call is logged after its response has ended.
            Awaitility.await().until(() -> gateway.logs().contains("\"outageAllowance\":true"));
            String unknown = stream(gateway, "Program: q\r\nBudget: 2000\r\n");
            assertTrue(unknown.startsWith("HTTP/1.1 503"), unknown);
            assertTrue(unknown.contains("STORE_UNAVAILABLE"), unknown);
        }
    }

    @Test
    void aStreamWithoutAResponseIsRequestedAgainBeforeTheTimeout() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number == 0) {
                                        exchange.awaitPeerClose();
                                        return;
                                    }
                                    exchange.startStream(event(1));
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            assertTrue(stream(gateway, "").contains("e1"));
            assertEquals(2, target.requests().size());
        }
    }

    /**
     * Guards against turns sent again and again to a target that accepts but never answers them.
     */
    @Test
    void aHungTargetIsSetAside() throws IOException {
        try (ScriptedTarget hanging =
                        new ScriptedTarget((exchange, number) -> exchange.awaitPeerClose());
                ScriptedTarget healthy =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(event(1));
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", hanging);
                TestClient waiting = gateway.client()) {
            waiting.send("POST", "/turn/x", "r0", "", "prompt");
            Awaitility.await().until(() -> !hanging.requests().isEmpty());
            gateway.register("sound", "engine", healthy.port(), false);
            gateway.awaitTargets(2);
            Awaitility.await().until(() -> gateway.logs().contains("target set aside"));

            for (int i = 0; i < 5; i++) {
                String answer = stream(gateway, "Program: p" + i + "\r\nBudget: 500\r\n");
                assertTrue(answer.contains("e1"), answer);
            }
            assertEquals(5, healthy.requests().size());
        }
    }

    /** Guards against calls that wait for a target known to hang until their timeout. */
    @Test
    void aCallToATargetKnownToHangFailsBeforeItsTimeout() throws IOException {
        try (ScriptedTarget hanging =
                        new ScriptedTarget((exchange, number) -> exchange.awaitPeerClose());
                TestGateway gateway = TestGateway.with("engine", hanging);
                TestClient first = gateway.client();
                TestClient second = gateway.client()) {
            first.send("POST", "/turn/x", "r1", "", "prompt");
            Awaitility.await().until(() -> hanging.requests().size() == 1);
            second.send("POST", "/turn/x", "r2", "", "prompt");

            String answer = second.readAnswer();
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertTrue(answer.contains("\"execution\":\"unknown\""), answer);
            assertTrue(answer.contains("does not answer"), answer);
        }
    }

    /** Guards against a failure that depends on which of two silent requests is examined first. */
    @Test
    void bothCallsToATargetThatHangsFailBeforeTheirTimeout() throws IOException {
        try (ScriptedTarget hanging =
                        new ScriptedTarget((exchange, number) -> exchange.awaitPeerClose());
                TestGateway gateway = TestGateway.with("engine", hanging);
                TestClient first = gateway.client();
                TestClient second = gateway.client()) {
            first.send("POST", "/turn/x", "r1", "", "prompt");
            second.send("POST", "/turn/x", "r2", "", "prompt");
            for (TestClient client : List.of(first, second)) {
                String answer = client.readAnswer();
                assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
                assertTrue(answer.contains("does not answer"), answer);
            }
        }
    }
}
