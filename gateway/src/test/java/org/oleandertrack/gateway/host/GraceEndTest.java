package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against requests that a stopping gateway has read and leaves without an answer. */
final class GraceEndTest {

    private static final long SHORT_GRACE_MILLIS = 1_000;
    private static final long LONG_GRACE_MILLIS = 10_000;

    private static ScriptedTarget silentTarget() throws Exception {
        return new ScriptedTarget((exchange, number) -> exchange.awaitPeerClose());
    }

    private static Thread startStop(TestGateway gateway) {
        Thread stop = Thread.startVirtualThread(gateway.host()::stop);
        Awaitility.await().until(() -> gateway.logs().contains("\"stopping\""));
        return stop;
    }

    private static void assertAnswer(String answer, int status, String code, String execution) {
        assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
        assertTrue(answer.contains(code), answer);
        assertTrue(answer.contains(execution), answer);
    }

    @Test
    void aCallUnderWayAtTheEndOfTheGraceIsAnsweredAsUnknown() throws Exception {
        try (ScriptedTarget target = silentTarget()) {
            TestGateway gateway = TestGateway.with(SHORT_GRACE_MILLIS, "tool", target);
            TestClient client = gateway.client();
            client.send("POST", "/patient/x", "r1", "", "body");
            Awaitility.await().until(() -> target.requests().size() == 1);
            Thread stop = startStop(gateway);
            String answer = client.readAnswer();
            assertAnswer(answer, 502, "STOPPED_DURING_CALL", "unknown");
            assertEquals("<closed>", client.readUntil("never"));
            stop.join();
            assertEquals(1, target.requests().size());
        }
    }

    @Test
    void aCallThatWaitsForTheStoreAtTheEndOfTheGraceIsAnsweredAsNotRun() throws Exception {
        try (ScriptedTarget target = silentTarget()) {
            TestGateway gateway = TestGateway.with(SHORT_GRACE_MILLIS, "engine", target);
            gateway.store().setUnresponsive(true);
            TestClient client = gateway.client();
            client.send("POST", "/talk/x", "r1", "Program: p\r\nBudget: 100\r\n", "body");
            Thread stop = startStop(gateway);
            String answer = client.readAnswer();
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("not run"), answer);
            stop.join();
            assertTrue(target.requests().isEmpty());
        }
    }

    @Test
    void aRequestThatIsHalfReceivedAtTheEndOfTheGraceIsAnsweredAsNotRun() throws Exception {
        try (ScriptedTarget target = silentTarget()) {
            TestGateway gateway = TestGateway.with(SHORT_GRACE_MILLIS, "tool", target);
            TestClient client = gateway.client();
            client.write("POST /unsafe/x HTTP/1.1\r\nHost: host\r\nContent-Length: 10\r\n\r\nbo");
            Thread stop = startStop(gateway);
            assertAnswer(client.readAnswer(), 503, "SHUTTING_DOWN", "not run");
            stop.join();
            assertTrue(target.requests().isEmpty());
        }
    }

    @Test
    void aStreamUnderWayAtTheEndOfTheGraceDoesNotLookComplete() throws Exception {
        try (ScriptedTarget target =
                new ScriptedTarget(
                        (exchange, number) -> {
                            exchange.startStream("id: 1\ndata: a\n\n");
                            exchange.awaitPeerClose();
                        })) {
            TestGateway gateway = TestGateway.with(SHORT_GRACE_MILLIS, "engine", target);
            TestClient client = gateway.client();
            client.send("POST", "/talk/x", "r1", "", "body");
            String begin = client.readUntil("data: a\n\n");
            assertTrue(begin.startsWith("HTTP/1.1 200"), begin);
            Thread stop = startStop(gateway);
            String rest = client.readUntil("never");
            assertEquals("\r\n<closed>", rest);
            stop.join();
        }
    }

    @Test
    void aRequestQueuedBehindACallAtTheEndOfTheGraceIsNotPassedOn() throws Exception {
        try (ScriptedTarget target = silentTarget()) {
            TestGateway gateway = TestGateway.with(SHORT_GRACE_MILLIS, "tool", target);
            TestClient client = gateway.client();
            client.send("POST", "/patient/x", "r1", "", "body");
            client.send("POST", "/patient/x", "r2", "", "body");
            Awaitility.await().until(() -> target.requests().size() == 1);
            Thread stop = startStop(gateway);
            String answer = client.readAnswer();
            assertAnswer(answer, 502, "STOPPED_DURING_CALL", "unknown");
            assertTrue(answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close"));
            assertEquals("<closed>", client.readUntil("never"));
            stop.join();
            assertEquals(1, target.requests().size());
        }
    }

    @Test
    void aRequestThatMayLastBeyondTheGraceIsRefusedFromTheStartOfAStop() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedTarget target =
                new ScriptedTarget(
                        (exchange, number) -> {
                            if (number == 0) {
                                TestGateway.awaitLatch(release);
                            }
                            exchange.answer(200, "", "done");
                        })) {
            TestGateway gateway = TestGateway.with(LONG_GRACE_MILLIS, "tool", target);
            TestClient busy = gateway.client();
            busy.send("POST", "/patient/x", "r0", "", "body");
            Awaitility.await().until(() -> target.requests().size() == 1);
            TestClient kept = gateway.client();
            Thread stop = startStop(gateway);
            kept.send("POST", "/patient/x", "r1", "", "body");
            String answer = kept.readAnswer();
            assertAnswer(answer, 503, "SHUTTING_DOWN", "not run");
            assertFalse(ScriptedTarget.header(answer, "Retry-After").isEmpty(), answer);
            assertEquals(1, target.requests().size());
            release.countDown();
            assertTrue(busy.readAnswer().endsWith("done"));
            stop.join();
        }
    }

    @Test
    void aRequestThatEndsWithinTheGraceIsServedUntilTheLoadBalancerHasReacted() throws Exception {
        try (ScriptedTarget target =
                new ScriptedTarget((exchange, number) -> exchange.answer(200, "", "done"))) {
            TestGateway gateway = TestGateway.with(LONG_GRACE_MILLIS, "tool", target);
            TestClient client = gateway.client();
            Thread stop = startStop(gateway);
            client.send("POST", "/unsafe/x", "r1", "", "body");
            assertTrue(client.readAnswer().endsWith("done"));
            stop.join();
        }
    }

    @Test
    void aCallThatATargetRefusesDuringAStopIsNotSentAgainIfItMayLastBeyondTheGrace()
            throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        AtomicInteger requests = new AtomicInteger();
        ScriptedTarget.Script script =
                (exchange, number) -> {
                    if (requests.getAndIncrement() == 0) {
                        TestGateway.awaitLatch(release);
                        exchange.answer(503, "Not-Executed: 1\r\n", "full");
                        return;
                    }
                    exchange.answer(200, "", "done");
                };
        try (ScriptedTarget target = new ScriptedTarget(script);
                ScriptedTarget otherTarget = new ScriptedTarget(script)) {
            TestGateway gateway = TestGateway.with(LONG_GRACE_MILLIS, "tool", target, otherTarget);
            TestClient client = gateway.client();
            client.send("POST", "/patient/x", "r1", "", "body");
            Awaitility.await().until(() -> requests.get() == 1);
            Thread stop = startStop(gateway);
            release.countDown();
            assertAnswer(client.readAnswer(), 503, "SHUTTING_DOWN", "not run");
            stop.join();
            assertEquals(1, requests.get());
        }
    }

    @Test
    void aSecondStopDoesNotBeginAnotherGrace() throws Exception {
        try (TestGateway gateway = new TestGateway(SHORT_GRACE_MILLIS)) {
            Thread first = startStop(gateway);
            Thread second = Thread.startVirtualThread(gateway.host()::stop);
            first.join();
            second.join();
            assertEquals(1, gateway.logs().split("\"stopping\"", -1).length - 1);
            assertEquals(1, gateway.logs().split("\"stopped\"", -1).length - 1);
        }
    }
}
