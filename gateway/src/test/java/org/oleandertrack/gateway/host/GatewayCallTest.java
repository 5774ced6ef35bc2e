package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses that are lost or reach the wrong caller, requests that run twice, and
 * requests that ran but are reported as not run.
 */
final class GatewayCallTest {

    private static String call(TestGateway gateway, String method, String path) throws IOException {
        try (TestClient client = gateway.client()) {
            client.send(method, path, "r1", "", method.equals("POST") ? "body" : "");
            return client.readAnswer();
        }
    }

    @Test
    void aResponseIsForwardedUnchangedAndTheRequestNamesItsTarget() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.answer(201, "Signature: s1\r\n", "answer"));
                TestGateway gateway = TestGateway.with("tool", target)) {
            String answer = call(gateway, "POST", "/unsafe/x?q=1");
            assertTrue(answer.startsWith("HTTP/1.1 201"), answer);
            assertTrue(answer.contains("Signature: s1"), answer);
            assertTrue(answer.endsWith("answer"), answer);
            String request = target.requests().getFirst();
            assertTrue(request.startsWith("POST /unsafe/x?q=1 HTTP/1.1"), request);
            assertEquals("t0", ScriptedTarget.header(request, "Target"));
            long deadline = Long.parseLong(ScriptedTarget.header(request, "Deadline"));
            assertTrue(deadline <= TestTables.TIMEOUT_MILLIS, "deadline " + deadline);
        }
    }

    @Test
    void aBodyWithoutLengthIsCompleteWhenItsConnectionEnds() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.write(
                                            "HTTP/1.1 200 OK\r\nId: "
                                                    + exchange.id()
                                                    + "\r\n\r\nwhole"
                                                    + number);
                                    exchange.socket().close();
                                });
                TestGateway gateway = TestGateway.with("tool", target)) {
            for (int i = 0; i < 3; i++) {
                String answer = call(gateway, "POST", "/unsafe/x");
                assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
                assertTrue(answer.endsWith("whole" + i), answer);
            }
        }
    }

    /** Guards against a body that broke off and counts as complete because it has no length. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nId: r1\r\n\r\npart",
                "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nId: r1\r\n",
                "HTTP/1.1 2"
            })
    void aResponseWithoutLengthThatIsResetHasAnUnknownExecution(String part) throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.write(part);
                                    exchange.reset();
                                });
                TestGateway gateway = TestGateway.with("tool", target)) {
            String answer = call(gateway, "POST", "/unsafe/x");
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertTrue(answer.contains("\"execution\":\"unknown\""), answer);
            assertEquals(1, target.requests().size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nId: r1\r\n", "HTTP/1.1 2", ""})
    void aHeadThatEndsWithItsConnectionIsNoResponse(String part) throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.write(part);
                                    exchange.socket().close();
                                });
                TestGateway gateway = TestGateway.with("tool", target)) {
            String answer = call(gateway, "POST", "/unsafe/x");
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertTrue(answer.contains("\"execution\":\"unknown\""), answer);
        }
    }

    @Test
    void aSafeRequestIsSentAgainWhenItsResponseIsLost() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number == 0) {
                                        exchange.reset();
                                    } else {
                                        exchange.answer(200, "", "second");
                                    }
                                });
                TestGateway gateway = TestGateway.with("tool", target)) {
            assertTrue(call(gateway, "GET", "/safe/x").endsWith("second"));
        }
    }

    @Test
    void anUnsafeRequestIsNotSentAgainAndItsExecutionIsUnknown() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget((exchange, number) -> exchange.reset());
                TestGateway gateway = TestGateway.with("tool", target)) {
            String answer = call(gateway, "POST", "/unsafe/x");
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertTrue(answer.contains("\"execution\":\"unknown\""), answer);
            assertEquals(1, target.requests().size());
        }
    }

    @Test
    void aRefusedRequestGoesToAnotherTarget() throws IOException {
        try (ScriptedTarget full =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.answer(503, "Not-Executed: 1\r\n", "full"));
                ScriptedTarget free =
                        new ScriptedTarget((exchange, number) -> exchange.answer(200, "", "free"));
                TestGateway gateway = TestGateway.with("tool", full, free)) {
            for (int i = 0; i < 6; i++) {
                assertTrue(call(gateway, "POST", "/unsafe/x").endsWith("free"));
            }
        }
    }

    @Test
    void aRequestThatAllTargetsRefuseIsReportedAsNotRunWithRetryAfter() throws IOException {
        try (ScriptedTarget full =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.answer(503, "Not-Executed: 1\r\n", "full"));
                TestGateway gateway = TestGateway.with("tool", full)) {
            String answer = call(gateway, "POST", "/unsafe/x");
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("\"execution\":\"not run\""), answer);
            assertFalse(ScriptedTarget.header(answer, "retry-after").isEmpty(), answer);
            assertEquals(1, full.requests().size());
        }
    }

    @Test
    void anErrorResponseToARequestThatRanIsForwarded() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> exchange.answer(503, "", "ran and failed"));
                TestGateway gateway = TestGateway.with("tool", target)) {
            String answer = call(gateway, "POST", "/unsafe/x");
            assertTrue(answer.endsWith("ran and failed"), answer);
            assertEquals(1, target.requests().size());
        }
    }

    @Test
    void aResponseToAnotherRequestIsSkipped() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.write(
                                            "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length:"
                                                    + " 5\r\n\r\nwrong");
                                    exchange.answer(200, "", "right");
                                });
                TestGateway gateway = TestGateway.with("tool", target)) {
            String answer = call(gateway, "POST", "/unsafe/x");
            assertTrue(answer.endsWith("right"), answer);
            assertFalse(answer.contains("wrong"), answer);
        }
    }

    @Test
    void anExtraResponseIsNotUsedForTheNextRequest() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.answer(200, "", "answer " + number);
                                    exchange.write(
                                            "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length:"
                                                    + " 5\r\n\r\nextra");
                                });
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            for (int i = 0; i < 5; i++) {
                client.send("GET", "/safe/x", "q" + i, "", "");
                String answer = client.readAnswer();
                assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
                assertTrue(answer.contains("answer "), answer);
            }
        }
    }

    @Test
    void aResponseEndedByConnectionCloseIsCompleteAndOneEndedByResetIsNot() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.write(
                                            "HTTP/1.1 200 OK\r\nId: "
                                                    + exchange.id()
                                                    + "\r\n\r\nwhole");
                                    if (number == 0) {
                                        exchange.socket().close();
                                    } else {
                                        exchange.reset();
                                    }
                                });
                TestGateway gateway = TestGateway.with("tool", target)) {
            assertTrue(call(gateway, "POST", "/unsafe/x").endsWith("whole"));
            String second = call(gateway, "POST", "/unsafe/x");
            assertTrue(second.startsWith("HTTP/1.1 502"), second);
        }
    }

    @Test
    void aMalformedResponseIsReportedAsATargetFailure() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> exchange.write("garbage\r\n\r\n\r\n"));
                TestGateway gateway = TestGateway.with("tool", target)) {
            assertTrue(call(gateway, "POST", "/unsafe/x").startsWith("HTTP/1.1 502"));
        }
    }

    @Test
    void aTargetThatAnswersAsAnotherIncarnationIsAvoided() throws IOException {
        try (ScriptedTarget other =
                        new ScriptedTarget((exchange, number) -> exchange.answer(421, "", ""));
                ScriptedTarget right =
                        new ScriptedTarget(
                                (exchange, number) -> exchange.answer(200, "", "right"));
                TestGateway gateway = TestGateway.with("tool", other, right)) {
            for (int i = 0; i < 6; i++) {
                assertTrue(call(gateway, "POST", "/unsafe/x").endsWith("right"));
            }
            assertTrue(other.requests().size() <= 1, "asked " + other.requests().size());
        }
    }

    @Test
    void requestsGoToAnotherTargetWhenOneIsUnreachable() throws IOException {
        ScriptedTarget gone = new ScriptedTarget((exchange, number) -> exchange.reset());
        gone.close();
        try (ScriptedTarget right =
                        new ScriptedTarget(
                                (exchange, number) -> exchange.answer(200, "", "right"));
                TestGateway gateway = TestGateway.with("tool", gone, right)) {
            for (int i = 0; i < 6; i++) {
                assertTrue(call(gateway, "POST", "/unsafe/x").endsWith("right"));
            }
        }
    }

    @Test
    void aRequestWithoutAResponseEndsAtItsRoutesTimeout() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget((exchange, number) -> exchange.awaitPeerClose());
                TestGateway gateway = TestGateway.with("tool", target)) {
            String answer = call(gateway, "POST", "/unsafe/x");
            assertTrue(answer.startsWith("HTTP/1.1 504"), answer);
            Awaitility.await().until(() -> target.closedByPeer().size() == 1);
        }
    }

    @Test
    void anUnsafeRequestWithoutAResponseIsNotSentAgain() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget((exchange, number) -> exchange.awaitPeerClose());
                TestGateway gateway = TestGateway.with("tool", target)) {
            assertTrue(call(gateway, "POST", "/unsafe/x").startsWith("HTTP/1.1 504"));
            assertEquals(1, target.requests().size());
        }
    }

    @Test
    void aRequestIsCancelledAtTheTargetWhenItsCallerDisconnects() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget((exchange, number) -> exchange.awaitPeerClose());
                TestGateway gateway = TestGateway.with("tool", target)) {
            try (TestClient client = gateway.client()) {
                client.send("GET", "/safe/x", "r1", "", "");
                Awaitility.await().until(() -> target.requests().size() == 1);
            }
            Awaitility.await().until(() -> target.closedByPeer().size() == 1);
        }
    }

    @Test
    void aChunkedBodyIsForwardedWithItsLengthAndATooLargeOneIsRejected() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget((exchange, number) -> exchange.answer(200, "", "ok"));
                TestGateway gateway = TestGateway.with("tool", target);
                TestClient client = gateway.client()) {
            client.write(
                    "POST /unsafe/x HTTP/1.1\r\nHost: host\r\nId: r\r\nTransfer-Encoding:"
                            + " chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            assertTrue(client.readAnswer().endsWith("ok"));
            assertEquals(
                    "5", ScriptedTarget.header(target.requests().getFirst(), "content-length"));
            client.write(
                    "POST /unsafe/x HTTP/1.1\r\nHost: host\r\nContent-Length: 99999999\r\n\r\n");
            assertTrue(client.readAnswer().startsWith("HTTP/1.1 413"));
        }
    }

    @Test
    void aRequestWithTwoLengthsIsRejected() throws IOException {
        try (TestGateway gateway = TestGateway.with("tool");
                TestClient client = gateway.client()) {
            String lengths = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";
            client.write("POST /unsafe/x HTTP/1.1\r\nHost: host\r\n" + lengths + "\r\n0\r\n\r\n");
            assertTrue(client.readAnswer().startsWith("HTTP/1.1 400"));
        }
    }

    @Test
    void requestsWithoutRouteConfigurationOrTargetAreRefusedAsNotRun() throws IOException {
        try (TestGateway gateway = new TestGateway(1_000)) {
            assertTrue(call(gateway, "GET", "/safe/x").startsWith("HTTP/1.1 503"));
            assertFalse(gateway.host().isReady());
            gateway.configure(1);
            assertTrue(call(gateway, "GET", "/none/x").startsWith("HTTP/1.1 404"));
            String answer = call(gateway, "GET", "/safe/x");
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("NO_TARGET_AVAILABLE"), answer);
        }
    }

    @Test
    void anOlderConfigurationNeverReplacesANewerOne() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget((exchange, number) -> exchange.answer(200, "", "ok"));
                TestGateway gateway = TestGateway.with("tool", target)) {
            gateway.configure(5);
            gateway.configure(3);
            assertTrue(call(gateway, "GET", "/v5/x").endsWith("ok"));
            assertTrue(call(gateway, "GET", "/v3/x").startsWith("HTTP/1.1 404"));
        }
    }

    @Test
    void aDrainingTargetGetsNoNewRequests() throws IOException {
        try (ScriptedTarget leaving =
                        new ScriptedTarget(
                                (exchange, number) -> exchange.answer(200, "", "leaving"));
                ScriptedTarget staying =
                        new ScriptedTarget(
                                (exchange, number) -> exchange.answer(200, "", "staying"));
                TestGateway gateway = TestGateway.with("tool", leaving, staying)) {
            gateway.register("t0", "tool", leaving.port(), true);
            Awaitility.await().until(() -> gateway.logs().contains("\"target removed\""));
            for (int i = 0; i < 6; i++) {
                assertTrue(call(gateway, "GET", "/safe/x").endsWith("staying"));
            }
        }
    }

    @Test
    void anUnreadableTargetEntryDoesNotAffectOthers() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget((exchange, number) -> exchange.answer(200, "", "ok"));
                TestGateway gateway = TestGateway.with("tool", target)) {
            gateway.store().put(TestTables.TARGETS, "bad", "garbled");
            Awaitility.await().until(() -> gateway.logs().contains("target entry unreadable"));
            assertTrue(call(gateway, "GET", "/safe/x").endsWith("ok"));
        }
    }
}
