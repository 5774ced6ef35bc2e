package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against engines that receive another conversation than the callers had, and against turns
 * that are lost after their response has ended.
 */
@ExtendWith(KnownFailureExtension.class)
final class GatewayConversationTest {

    private static final ScriptedTarget.Script TWO_EVENTS =
            (exchange, number) -> {
                exchange.startStream("id: 1\ndata: a" + number + "\n\n", "id: 2\ndata:  b\n\n");
                exchange.endStream();
            };

    private static String turn(TestGateway gateway, String id, String previous, String input)
            throws IOException {
        try (TestClient client = gateway.client()) {
            String headers = previous.isEmpty() ? "" : "Previous: " + previous + "\r\n";
            client.send("POST", "/talk/x", id, headers, input);
            return client.readAnswer();
        }
    }

    @Test
    void anEngineReceivesAllInputsAndEventDataInOrder() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(TWO_EVENTS);
                TestGateway gateway = TestGateway.with("engine", target)) {
            turn(gateway, "t1", "", "one");
            turn(gateway, "t2", "t1", "two");
            turn(gateway, "t3", "t2", "three");
            assertEquals("one", target.bodies().get(0));
            assertEquals("onea0\n b\ntwo", target.bodies().get(1));
            assertEquals("onea0\n b\ntwoa1\n b\nthree", target.bodies().get(2));
        }
    }

    @Test
    void severalTurnsContinueFromTheSameTurn() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(TWO_EVENTS);
                TestGateway gateway = TestGateway.with("engine", target)) {
            turn(gateway, "t1", "", "one");
            turn(gateway, "left", "t1", "L");
            turn(gateway, "right", "t1", "R");
            turn(gateway, "end", "left", "E");
            assertEquals("onea0\n b\nR", target.bodies().get(2));
            assertEquals("onea0\n b\nLa1\n b\nE", target.bodies().get(3));
        }
    }

    @Test
    void aLineBeforeTheDataIsNotPartOfIt() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(
                                            "x-weights: 3\nid: 1\ndata: a\n\n",
                                            "id: 2\r\ndata: b\r\ndata: c\r\n\r\n",
                                            ": comment\n\n",
                                            "id: 3\ndata:\n\n");
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            turn(gateway, "t1", "", "one");
            turn(gateway, "t2", "t1", "two");
            assertEquals("onea\nb\nc\n\ntwo", target.bodies().get(1));
        }
    }

    @Test
    void theDataOfAStreamThatIsResumedIsThatOfTheForwardedEvents() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number == 0) {
                                        exchange.startStream("id: 1\ndata: a\n\n", "id: 2\nda");
                                        exchange.reset();
                                        return;
                                    }
                                    exchange.startStream("id: 2\ndata: b\n\n");
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            try (TestClient client = gateway.client()) {
                client.send("POST", "/kept/x", "t1", "", "one");
                client.readAnswer();
                client.send("POST", "/kept/x", "t2", "Previous: t1\r\n", "two");
                client.readAnswer();
            }
            assertEquals("onea\nb\ntwo", target.bodies().get(2));
        }
    }

    /** Guards against a turn without end whose whole output is held in memory. */
    @Test
    void aTurnThatGoesOnIsNotKept() throws IOException {
        String kilobyte = "x".repeat(1_024);
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream();
                                    for (int i = 1; i <= 1_024; i++) {
                                        exchange.chunk("id: " + i + "\ndata: " + kilobyte + "\n\n");
                                    }
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = turn(gateway, "t1", "", "one");
            assertTrue(answer.contains("id: 1024\n"), "events are missing");
            assertTrue(answer.endsWith("<closed>"), "the response ended as complete");
            assertTrue(gateway.logs().contains("TURN_NOT_KEPT"));
            turn(gateway, "t2", "t1", "two");
            assertEquals(1, target.requests().size());
        }
    }

    @Test
    void aTurnThatItsCallerTookUpContinuesWithItsWholeOutput() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    String after =
                                            ScriptedTarget.header(exchange.head(), "Resume-After");
                                    if (number == 0) {
                                        exchange.startStream("id: 1\ndata: a\n\n");
                                        exchange.awaitPeerClose();
                                        return;
                                    }
                                    if (after.isEmpty()) {
                                        exchange.startStream("id: 1\ndata: a\n\n");
                                    } else {
                                        exchange.startStream();
                                    }
                                    exchange.chunk("id: 2\ndata: b\n\n");
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            try (TestClient client = gateway.client()) {
                client.send("POST", "/kept/x", "t1", "", "one");
                client.readUntil("a\n\n");
            }
            try (TestClient client = gateway.client()) {
                client.send("POST", "/kept/x", "t2", "First-Id: t1\r\nResume-After: 1\r\n", "one");
                String rest = client.readAnswer();
                assertFalse(rest.contains("data: a"), rest);
                assertTrue(rest.contains("data: b"), rest);
            }
            turn(gateway, "t3", "t2", "two");
            assertEquals("onea\nb\ntwo", target.bodies().get(2));
        }
    }

    @Test
    void aTurnWhosePredecessorNeverExistedDoesNotRun() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(TWO_EVENTS);
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = turn(gateway, "t1", "forged", "one");
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("HISTORY_UNAVAILABLE"), answer);
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("retry-after"), answer);
            assertEquals(0, target.requests().size());
        }
    }

    @Test
    void theResponseEndsOnlyWhenTheTurnIsKept() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(TWO_EVENTS);
                TestGateway gateway = TestGateway.with("engine", target);
                TestClient client = gateway.client()) {
            gateway.store().setUnresponsive(true);
            client.send("POST", "/talk/x", "t1", "", "one");
            String events = client.readUntil("data:  b\n\n");
            assertFalse(events.contains("\r\n0\r\n"), events);
            assertFalse(gateway.logs().contains("\"turn kept\""));
            gateway.store().setUnresponsive(false);
            String end = client.readUntil("0\r\n\r\n");
            assertFalse(end.contains("<closed>"), end);
            assertTrue(gateway.logs().contains("\"outcome\":\"stored\""), gateway.logs());
        }
    }

    /** Guards against a response that ends whole although the store never confirms the turn. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aResponseInAnOutageThatOutlastsItIsBrokenOff(boolean unresponsive) throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(TWO_EVENTS);
                TestGateway gateway = TestGateway.with("engine", target)) {
            gateway.store().setUnresponsive(unresponsive);
            gateway.store().setUnavailable(!unresponsive);
            String answer = turn(gateway, "t1", "", "one");
            assertTrue(answer.contains("data:  b") && answer.endsWith("<closed>"), answer);
            gateway.store().setUnresponsive(false);
            gateway.store().setUnavailable(false);
            assertTrue(turn(gateway, "t2", "", "one").endsWith("0\r\n\r\n"));
            turn(gateway, "t3", "t2", "two");
            assertEquals("onea1\n b\ntwo", target.bodies().getLast());
        }
    }

    /** Guards against a turn that is answered whole and not kept, because it is no stream. */
    @ParameterizedTest
    @ValueSource(strings = {"200", "204"})
    void aSuccessThatIsNoStreamIsNotForwarded(String status) throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.answer(Integer.parseInt(status), "", ""));
                TestGateway gateway = TestGateway.with("engine", target)) {
            assertTrue(turn(gateway, "t1", "", "one").startsWith("HTTP/1.1 502"));
        }
    }

    @Test
    void aTurnThatWasNotAnsweredWholeIsNotKept() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream("id: 1\ndata: a\n\n");
                                    exchange.reset();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            assertTrue(turn(gateway, "t1", "", "one").endsWith("<closed>"));
            assertTrue(turn(gateway, "t2", "t1", "two").startsWith("HTTP/1.1 503"));
            assertEquals(1, target.requests().size());
        }
    }

    /**
     * Guards against conversations that the store refuses as too large, or of which only the first
     * page of rows is read.
     */
    @ParameterizedTest
    @CsvSource({"\u00e9, 13000, 14", "\u982d, 9830, 20", "a, 325000, 4"})
    void aConversationOfSeveralRowsIsReadBackWhole(String letter, int letters, int turns)
            throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(TWO_EVENTS);
                TestGateway gateway = TestGateway.with("engine", target)) {
            String input = letter.repeat(letters);
            StringBuilder expected = new StringBuilder();
            String previous = "";
            for (int turn = 0; turn < turns; turn++) {
                turn(gateway, "t" + turn, previous, input);
                previous = "t" + turn;
                expected.append(input).append("a").append(turn).append("\n b\n");
            }
            try (TestGateway other = new TestGateway(gateway.store())) {
                other.awaitTargets(1);
                turn(other, "last", previous, "last");
                assertTrue(other.logs().contains("\"source\":\"store\""));
            }
            assertEquals(expected + "last", target.bodies().getLast());
        }
    }
}
