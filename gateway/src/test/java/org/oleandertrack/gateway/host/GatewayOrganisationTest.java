package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that run without a valid key, keys that leave the gateway, and state of
 * one organisation that another one reaches.
 */
final class GatewayOrganisationTest {

    private static final ScriptedTarget.Script ANSWER =
            (exchange, number) -> exchange.answer(200, "", "done");
    private static final ScriptedTarget.Script STREAM =
            (exchange, number) -> {
                exchange.startStream("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n");
                exchange.endStream();
            };
    private static final String ALPHA = "Key: key-a\r\n";
    private static final String BETA = "Key: key-b\r\n";

    private static TestGateway gateway(String service, ScriptedTarget target) {
        TestGateway gateway = TestGateway.with(service, target);
        gateway.configure(2, " alpha key-a beta key-b");
        return gateway;
    }

    private static String call(TestGateway gateway, String path, String id, String headers)
            throws IOException {
        try (TestClient client = gateway.client()) {
            client.send("POST", path, id, headers, "body");
            return client.readAnswer();
        }
    }

    private static void assertResult(int status, int code, String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
        assertTrue(
                answer.toLowerCase(Locale.ROOT)
                        .contains("oleandertrack-result-code: " + code + "\r\n"),
                answer);
    }

    @Test
    void aRequestNeedsAKnownKeyUnlessItsRouteDoesNotExist() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(ANSWER);
                TestGateway gateway = gateway("tool", target)) {
            assertResult(401, 1013, call(gateway, "/safe/x", "r1", ""));
            assertResult(401, 1013, call(gateway, "/safe/x", "r2", "Key: other\r\n"));
            assertResult(404, 1009, call(gateway, "/none/x", "r3", ""));
            assertResult(404, 1009, call(gateway, "/none/x", "r4", ALPHA));
            assertTrue(target.requests().isEmpty());
            assertTrue(call(gateway, "/safe/x", "r5", ALPHA).startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void aTargetLearnsTheNameOfTheOrganisationAndNeverTheKey() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(ANSWER);
                TestGateway gateway = gateway("tool", target)) {
            call(gateway, "/safe/x", "r1", ALPHA + "Organisation: beta\r\n");
            String head = target.requests().getFirst();
            assertEquals("alpha", ScriptedTarget.header(head, "Organisation"));
            assertFalse(head.contains("key-a"), head);
            // The line at the end of a call is written after its response.
            Awaitility.await().until(() -> gateway.logs().contains("\"organisation\":\"alpha\""));
            assertFalse(gateway.logs().contains("key-a"));
        }
    }

    @Test
    void anAnonymousRequestIsSentWithoutKeyAndOrganisation() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(ANSWER);
                TestGateway gateway = gateway("tool", target)) {
            call(gateway, "/open/x", "r1", "Key: other\r\nOrganisation: beta\r\n");
            String head = target.requests().getFirst();
            assertFalse(head.contains("beta") || head.contains("Key"), head);
            call(gateway, "/open/x", "r2", BETA);
            String member = target.requests().get(1);
            assertEquals("beta", ScriptedTarget.header(member, "Organisation"));
        }
    }

    @Test
    void withoutOrganisationsBothHeadersPassThrough() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(ANSWER);
                TestGateway gateway = TestGateway.with("tool", target)) {
            call(gateway, "/safe/x", "r1", "Key: other\r\nOrganisation: beta\r\n");
            String head = target.requests().getFirst();
            assertEquals("other", ScriptedTarget.header(head, "Key"));
            assertEquals("beta", ScriptedTarget.header(head, "Organisation"));
        }
    }

    @Test
    void aTurnOfAnotherOrganisationIsLikeOneThatNeverExisted() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(STREAM);
                TestGateway gateway = gateway("engine", target)) {
            call(gateway, "/talk/x", "t1", ALPHA);
            // A host that has just started answers so for each turn that it does not find.
            assertResult(503, 2015, call(gateway, "/talk/x", "t2", BETA + "Previous: t1\r\n"));
            assertResult(503, 2015, call(gateway, "/talk/x", "t2", ALPHA + "Previous: none\r\n"));
            assertEquals(1, target.requests().size());
            // The response has the id that its caller chose, and so has the target's request.
            String answer = call(gateway, "/talk/x", "t3", ALPHA + "Previous: t1\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            assertEquals("t3", ScriptedTarget.header(target.requests().get(1), "Id"));
            assertEquals("bodya\nb\nbody", target.bodies().get(1));
        }
    }

    /** Each turn reserves 20 tokens of a budget of 30 and gives back none of them. */
    @Test
    void programsOfTwoOrganisationsWithOneIdHaveTheirOwnBudgets() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(
                                            "id: 1\ndata: a\n\n",
                                            "id: 2\ndata: b\n\n",
                                            "id: 3\ndata: c\n\n",
                                            "id: 4\ndata: d\n\n");
                                    exchange.endStream();
                                });
                TestGateway gateway = gateway("engine", target)) {
            String program = "Program: p\r\nBudget: 30\r\n";
            assertTrue(call(gateway, "/turn/x", "t1", ALPHA + program).startsWith("HTTP/1.1 200"));
            assertResult(402, 2006, call(gateway, "/turn/x", "t2", ALPHA + program));
            assertTrue(call(gateway, "/turn/x", "t3", BETA + program).startsWith("HTTP/1.1 200"));
        }
    }

    /** Guards against ranks of one organisation that depend on the program ids of another one. */
    @Test
    void turnsAreRankedOnlyWithOrganisationsAndForEachOneAlone() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(STREAM);
                TestGateway gateway = TestGateway.with("engine", target)) {
            String program = "Program: p\r\nBudget: 300\r\n";
            assertTrue(call(gateway, "/turn/x", "t1", program).startsWith("HTTP/1.1 200"));
            assertFalse(gateway.logs().contains("\"ranked\""));
            gateway.configure(2, " alpha key-a beta key-b");
            call(gateway, "/turn/x", "t2", ALPHA + program);
            call(gateway, "/turn/x", "t3", BETA + program);
            assertFalse(gateway.logs().contains("\"programUnderWay\":true"));
            call(gateway, "/turn/x", "t4", ALPHA + program);
            assertEquals(4, gateway.logs().split("\"ranked\"", -1).length);
            assertEquals(2, gateway.logs().split("\"programUnderWay\":true", -1).length);
        }
    }

    /** With two versions in service, a stream without a known origin is refused. */
    @Test
    void aStreamOfAnotherOrganisationCannotBeTakenUp() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(STREAM);
                ScriptedTarget newer = new ScriptedTarget(STREAM);
                TestGateway gateway = gateway("engine", target)) {
            gateway.registerVersion("n", "engine", newer.port(), "v2");
            gateway.awaitTargets(2);
            call(gateway, "/turn/x", "s1", ALPHA);
            String takeUp = "First-Id: s1\r\nResume-After: 1\r\n";
            assertResult(503, 4012, call(gateway, "/turn/x", "s2", BETA + takeUp));
            assertTrue(call(gateway, "/turn/x", "s3", ALPHA + takeUp).startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void aRevokedKeyIsRefusedAndANewOneAccepted() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(ANSWER);
                TestGateway gateway = gateway("tool", target)) {
            gateway.configure(3, " alpha key-new");
            assertResult(401, 1013, call(gateway, "/safe/x", "r1", ALPHA));
            String answer = call(gateway, "/safe/x", "r2", "Key: key-new\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        }
    }

    @Test
    void aHostWithoutConfigurationNeverAnswersThatAKeyIsMissing() throws IOException {
        try (TestGateway gateway = new TestGateway(OptionalLong.of(5_000))) {
            assertResult(503, 5008, call(gateway, "/safe/x", "r1", ""));
        }
    }

    /** The store is unavailable for longer than the bound on a host without peers. */
    @Test
    void aHostWithOldKnowledgeRefusesKeysButServesAnonymousRoutes() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(ANSWER);
                TestGateway gateway = new TestGateway(OptionalLong.of(5_000))) {
            gateway.configure(1, " alpha key-a");
            gateway.register("t0", "tool", target.port(), false);
            gateway.awaitTargets(1);
            assertTrue(call(gateway, "/safe/x", "r1", ALPHA).startsWith("HTTP/1.1 200"));
            gateway.store().setUnavailable(true);
            Awaitility.await()
                    .atMost(Duration.ofSeconds(8))
                    .until(() -> call(gateway, "/safe/x", "r2", ALPHA).contains("HTTP/1.1 503"));
            String refusal = call(gateway, "/safe/x", "r3", ALPHA);
            assertResult(503, 5009, refusal);
            assertTrue(refusal.toLowerCase(Locale.ROOT).contains("retry-after: 0.3"), refusal);
            assertTrue(call(gateway, "/open/x", "r4", ALPHA).startsWith("HTTP/1.1 200"));
            assertTrue(gateway.logs().contains("\"organisation\":\"alpha\""));
            gateway.store().setUnavailable(false);
            Awaitility.await()
                    .atMost(Duration.ofSeconds(5))
                    .until(() -> call(gateway, "/safe/x", "r5", ALPHA).contains("HTTP/1.1 200"));
        }
    }

    /** Guards against a host that the store turns away and that refuses although a peer serves. */
    @Test
    void aHostWithoutTheStoreServesAndLearnsRevocationsThroughAPeer() throws IOException {
        OptionalLong bound = OptionalLong.of(5_000);
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        MemoryRowStore ownStore = new MemoryRowStore(executor);
        ownStore.setUnavailable(true);
        int port = freePort();
        int portOfPeer = freePort();
        try (ScriptedTarget target = new ScriptedTarget(ANSWER);
                TestGateway peer =
                        new TestGateway(new MemoryRowStore(executor), bound, portOfPeer, port);
                TestGateway gateway = new TestGateway(ownStore, bound, port, portOfPeer)) {
            peer.configure(1, " alpha key-a");
            peer.register("t0", "tool", target.port(), false);
            gateway.awaitTargets(1);
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(6);
            while (System.nanoTime() < endNanos) {
                String answer = call(gateway, "/safe/x", "r1", ALPHA);
                assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            }
            peer.configure(2, " alpha key-new");
            Awaitility.await()
                    .atMost(Duration.ofSeconds(5))
                    .until(() -> call(gateway, "/safe/x", "r2", ALPHA).contains("HTTP/1.1 401"));
        } finally {
            executor.shutdownNow();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Guards against rows of the store that have other ids as soon as keys are supported. */
    @Test
    void withoutOrganisationsTheIdsOfRowsAreThoseOfTheCallers() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(STREAM);
                TestGateway gateway = TestGateway.with("engine", target)) {
            call(gateway, "/talk/x", "t1", "Program: p\r\nBudget: 30\r\n");
            List<String> keys = gateway.store().keys();
            assertTrue(keys.contains("turns t1"), keys.toString());
            assertTrue(keys.contains("spending p"), keys.toString());
        }
    }
}
