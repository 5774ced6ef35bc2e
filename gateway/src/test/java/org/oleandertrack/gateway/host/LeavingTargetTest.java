package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** Guards against requests that are sent to a target that has said that it leaves. */
@ExtendWith(KnownFailureExtension.class)
final class LeavingTargetTest {

    private static final int CALLS = 20;
    private static final String LEAVING = "Leaving: 1\r\n";

    private static String call(TestGateway gateway) throws IOException {
        try (TestClient client = gateway.client()) {
            client.send("GET", "/safe/x", "r1", "", "");
            return client.readAnswer();
        }
    }

    private static ScriptedTarget target(int status, String headers) throws IOException {
        return new ScriptedTarget((exchange, number) -> exchange.answer(status, headers, "done"));
    }

    private static void callUntilReached(TestGateway gateway, ScriptedTarget target) {
        Awaitility.await()
                .until(
                        () -> {
                            call(gateway);
                            return !target.requests().isEmpty();
                        });
    }

    private static void assertNoneOfManyCallsReaches(TestGateway gateway, ScriptedTarget target)
            throws IOException {
        int before = target.requests().size();
        for (int i = 0; i < CALLS; i++) {
            assertTrue(call(gateway).startsWith("HTTP/1.1 200"));
        }
        assertEquals(before, target.requests().size());
    }

    @Test
    void aTargetThatSaysThatItLeavesGetsNoRequestWhileTheStoreIsAway() throws IOException {
        try (ScriptedTarget leaving = target(200, LEAVING);
                ScriptedTarget staying = target(200, "");
                TestGateway gateway = TestGateway.with("tool", leaving, staying)) {
            gateway.store().setUnavailable(true);
            callUntilReached(gateway, leaving);
            assertNoneOfManyCallsReaches(gateway, leaving);
        }
    }

    @Test
    void aTargetThatSaysThatItLeavesInAFailureGetsNoFurtherRequest() throws IOException {
        try (ScriptedTarget leaving = target(500, LEAVING);
                ScriptedTarget staying = target(200, "");
                TestGateway gateway = TestGateway.with("tool", leaving, staying)) {
            callUntilReached(gateway, leaving);
            assertNoneOfManyCallsReaches(gateway, leaving);
        }
    }

    @Test
    void aTargetThatSaysThatItLeavesInARefusalGetsNoFurtherRequest() throws IOException {
        try (ScriptedTarget leaving = target(503, LEAVING + "Not-Executed: 1\r\n");
                ScriptedTarget staying = target(200, "");
                TestGateway gateway = TestGateway.with("tool", leaving, staying)) {
            callUntilReached(gateway, leaving);
            assertNoneOfManyCallsReaches(gateway, leaving);
        }
    }

    @Test
    void aTargetThatSaysThatItLeavesStaysUnusedWhenTheStoreListsItAnew() throws IOException {
        try (ScriptedTarget leaving = target(200, LEAVING);
                ScriptedTarget staying = target(200, "");
                TestGateway gateway = TestGateway.with("tool", leaving, staying)) {
            callUntilReached(gateway, leaving);
            gateway.store().put(TestTables.TARGETS, "t0", "unreadable");
            gateway.register("t0", "tool", leaving.port(), false);
            gateway.register("t2", "tool", staying.port(), false);
            Awaitility.await().until(() -> gateway.logs().contains("\"target\":\"t2\""));
            assertNoneOfManyCallsReaches(gateway, leaving);
        }
    }

    @Test
    void callsAreRefusedAsNotRunWhenAllTargetsHaveSaidThatTheyLeave() throws IOException {
        try (ScriptedTarget leaving = target(200, LEAVING);
                TestGateway gateway = TestGateway.with("tool", leaving)) {
            assertTrue(call(gateway).startsWith("HTTP/1.1 200"));
            String answer = call(gateway);
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("\"execution\":\"not run\""), answer);
            assertEquals(1, leaving.requests().size());
        }
    }

    @Test
    void anotherIncarnationOfATargetThatLeftGetsRequests() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.answer(200, number == 0 ? LEAVING : "", "done"));
                TestGateway gateway = TestGateway.with("tool", target)) {
            assertTrue(call(gateway).startsWith("HTTP/1.1 200"));
            gateway.store().put(TestTables.TARGETS, "t0", "tool " + target.port() + " false 2");
            gateway.awaitTargets(2);
            assertTrue(call(gateway).startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void anAnswerOfAnotherIncarnationAtTheAddressSaysNothingOfTheTarget() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.answer(
                                                number == 0 ? 421 : 200,
                                                number == 0 ? LEAVING : "",
                                                "done"));
                TestGateway gateway = TestGateway.with("tool", target)) {
            assertTrue(call(gateway).startsWith("HTTP/1.1 503"));
            Awaitility.await().until(() -> call(gateway).startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void aStreamDoesNotReturnToATargetThatDrains() throws IOException {
        CountDownLatch isDraining = new CountDownLatch(1);
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream("id: 1\ndata: e1\n\n");
                                    TestGateway.awaitLatch(isDraining);
                                    exchange.reset();
                                });
                TestGateway gateway = TestGateway.with("engine", target);
                TestClient client = gateway.client()) {
            client.send("POST", "/turn/x", "r1", "", "prompt");
            client.readUntil("e1\n\n");
            gateway.register("t0", "engine", target.port(), true);
            Awaitility.await().until(() -> gateway.logs().contains("\"target removed\""));
            isDraining.countDown();
            String rest = client.readUntil("0\r\n\r\n");
            assertTrue(rest.endsWith("<closed>"), rest);
            assertEquals(1, target.requests().size());
        }
    }
}
