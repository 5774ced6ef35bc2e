package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against targets that get more requests than the rate that they state. */
final class TargetRateLimitTest {

    private static final double RATE = 2;
    private static final String RATE_HEADER = "Rate: " + RATE + "\r\n";

    private static String call(TestGateway gateway, String method, String path) throws IOException {
        try (TestClient client = gateway.client()) {
            client.send(method, path, "r1", "", method.equals("POST") ? "body" : "");
            return client.readAnswer();
        }
    }

    private static double maxRequests(long startNanos) {
        double seconds = (double) (System.nanoTime() - startNanos) / TimeUnit.SECONDS.toNanos(1);
        return 1.5 * RATE * seconds + 5;
    }

    @Test
    void aTargetGetsNoMoreThanItsStatedRateWhileAnotherTakesTheRest() throws IOException {
        try (ScriptedTarget limited =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.answer(200, RATE_HEADER, "limited"));
                ScriptedTarget other =
                        new ScriptedTarget(
                                (exchange, number) -> exchange.answer(200, "", "other"));
                TestGateway gateway = TestGateway.with("tool", limited, other)) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < 60; i++) {
                assertTrue(call(gateway, "POST", "/unsafe/x").startsWith("HTTP/1.1 200"));
            }
            double most = maxRequests(startNanos);
            assertTrue(limited.requests().size() <= most, limited.requests().size() + " > " + most);
        }
    }

    @Test
    void callsBeyondTheRateOfAllTargetsAreRefusedAtOnceAndNotRun() throws IOException {
        try (ScriptedTarget limited =
                        new ScriptedTarget(
                                (exchange, number) -> exchange.answer(200, RATE_HEADER, "done"));
                TestGateway gateway = TestGateway.with("tool", limited)) {
            long startNanos = System.nanoTime();
            int served = 0;
            int refused = 0;
            for (int i = 0; i < 30; i++) {
                String answer = call(gateway, "GET", "/safe/x");
                if (answer.startsWith("HTTP/1.1 200")) {
                    served++;
                    continue;
                }
                refused++;
                assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
                assertTrue(answer.contains("\"code\":4009"), answer);
                assertTrue(answer.contains("\"execution\":\"not run\""), answer);
                assertFalse(ScriptedTarget.header(answer, "retry-after").isEmpty(), answer);
            }
            assertTrue(refused > 0, "no call was refused");
            assertEquals(served, limited.requests().size());
            assertTrue(served <= maxRequests(startNanos), "served " + served);
        }
    }

    @Test
    void theRateIsNoLongerLimitedOnceTheTargetStatesNone() throws IOException {
        AtomicBoolean limits = new AtomicBoolean(true);
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) ->
                                        exchange.answer(
                                                200, limits.get() ? RATE_HEADER : "", "done"));
                TestGateway gateway = TestGateway.with("tool", target)) {
            assertTrue(call(gateway, "GET", "/safe/x").startsWith("HTTP/1.1 200"));
            limits.set(false);
            boolean lifted = false;
            for (int i = 0; i < 1_000 && !lifted; i++) {
                var _ = call(gateway, "GET", "/safe/x");
                lifted = gateway.logs().contains("target limit lifted");
            }
            assertTrue(lifted, "the limit was not lifted");
            for (int i = 0; i < 20; i++) {
                assertTrue(call(gateway, "GET", "/safe/x").startsWith("HTTP/1.1 200"));
            }
        }
    }

    /** Guards against targets whose queues overflow because others limit their rate. */
    @Test
    void callsBeyondTheRateDoNotOverrunTheOtherTargets() throws IOException {
        CountDownLatch released = new CountDownLatch(1);
        try (ScriptedTarget limited =
                        new ScriptedTarget(
                                (exchange, number) -> exchange.answer(200, "Rate: 0.2\r\n", "x"));
                ScriptedTarget other =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    awaitUninterruptibly(released);
                                    exchange.answer(200, "", "done");
                                });
                TestGateway gateway = TestGateway.with("tool", limited)) {
            assertTrue(call(gateway, "GET", "/safe/x").startsWith("HTTP/1.1 200"));
            gateway.register("t1", "tool", other.port(), false);
            gateway.awaitTargets(2);
            List<TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                TestClient client = gateway.client();
                client.send("POST", "/patient/x", "r" + i, "", "body");
                clients.add(client);
            }
            Awaitility.await()
                    .until(
                            () ->
                                    other.requests().size()
                                                    + gateway.logs()
                                                            .split("4009|RATE_LIMITED")
                                                            .length
                                            >= 30);
            released.countDown();
            assertTrue(other.requests().size() <= 3 * 4 + 1, "got " + other.requests().size());
            for (TestClient client : clients) {
                client.close();
            }
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against a limit that is forgotten while the store does not list the target. */
    @Test
    void theRateIsKeptWhenTheSameIncarnationIsListedAgain() throws IOException {
        try (ScriptedTarget limited =
                        new ScriptedTarget(
                                (exchange, number) -> exchange.answer(200, RATE_HEADER, "done"));
                TestGateway gateway = TestGateway.with("tool", limited)) {
            assertTrue(call(gateway, "GET", "/safe/x").startsWith("HTTP/1.1 200"));
            gateway.register("t0", "tool", limited.port(), true);
            Awaitility.await().until(() -> gateway.logs().contains("target removed"));
            gateway.register("t0", "tool", limited.port(), false);
            gateway.awaitTargets(2);
            String answer = call(gateway, "GET", "/safe/x");
            assertTrue(gateway.logs().contains("permitWaitMs") || answer.contains("4009"), answer);
        }
    }

    /** Guards against the resumption of a stream that exceeds the rate of its target. */
    @Test
    void aStreamIsResumedAtALimitedTargetAfterAWait() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.write(
                                            "HTTP/1.1 200 OK\r\nId: "
                                                    + exchange.id()
                                                    + "\r\n"
                                                    + RATE_HEADER
                                                    + "Content-Type: text/event-stream\r\n"
                                                    + "Transfer-Encoding: chunked\r\n\r\n");
                                    exchange.chunk("id: " + (number + 1) + "\ndata: x\n\n");
                                    if (number == 0) {
                                        exchange.reset();
                                    }
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            String answer = call(gateway, "POST", "/turn/x");
            assertTrue(answer.contains("id: 1"), answer);
            assertTrue(answer.contains("id: 2"), answer);
        }
    }
}
