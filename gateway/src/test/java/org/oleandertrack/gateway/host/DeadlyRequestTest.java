package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against one request that crashes target after target. */
final class DeadlyRequestTest {

    private static final String DEADLY = "deadly";

    private final List<ScriptedTarget> mTargets = new ArrayList<>();
    private final AtomicInteger mCrashes = new AtomicInteger();

    @AfterEach
    void closeTargets() throws IOException {
        for (ScriptedTarget target : mTargets) {
            target.close();
        }
    }

    private ScriptedTarget startTarget() throws IOException {
        ScriptedTarget target =
                new ScriptedTarget(
                        (exchange, number) -> {
                            if (exchange.target().bodies().get(number).startsWith(DEADLY)) {
                                mCrashes.incrementAndGet();
                                exchange.target().close();
                                exchange.socket().close();
                                return;
                            }
                            exchange.answer(200, "", "done");
                        });
        mTargets.add(target);
        return target;
    }

    private TestGateway startGateway(int targets) throws IOException {
        ScriptedTarget[] started = new ScriptedTarget[targets];
        for (int i = 0; i < targets; i++) {
            started[i] = startTarget();
        }
        return TestGateway.with("tool", started);
    }

    private static String call(TestGateway gateway, String id, String body) throws IOException {
        return call(gateway, "/unsafe/x", id, body);
    }

    private static String call(TestGateway gateway, String path, String id, String body)
            throws IOException {
        try (TestClient client = gateway.client()) {
            client.send("POST", path, id, "", body);
            return client.readAnswer();
        }
    }

    @Test
    void aRequestThatCrashedThreeTargetsIsRefusedAndOthersAreServed() throws IOException {
        try (TestGateway gateway = startGateway(6)) {
            assertTrue(call(gateway, "r0", "harmless").startsWith("HTTP/1.1 200"));
            for (int i = 0; i < 3; i++) {
                String answer = call(gateway, "deadly-" + i, DEADLY);
                assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
                int observed = i + 1;
                Awaitility.await().until(() -> count(gateway, "\"target down\"") >= observed);
            }
            for (int i = 3; i < 12; i++) {
                String answer = call(gateway, "deadly-" + i, DEADLY);
                assertTrue(answer.startsWith("HTTP/1.1 429"), answer);
                assertTrue(answer.contains("\"code\":4010"), answer);
                assertTrue(answer.contains("\"execution\":\"not run\""), answer);
                assertTrue(call(gateway, "r" + i, "harmless").startsWith("HTTP/1.1 200"));
            }
            assertEquals(3, mCrashes.get());
        }
    }

    @Test
    void anotherHostRefusesARequestThatCrashedTargetsOfThisOne() throws IOException {
        try (TestGateway first = startGateway(5);
                TestGateway second = new TestGateway(first.store())) {
            second.awaitTargets(5);
            for (int i = 0; i < 3; i++) {
                var _ = call(first, "deadly-" + i, DEADLY);
                int observed = i + 1;
                Awaitility.await().until(() -> count(first, "\"target down\"") >= observed);
            }
            Awaitility.await().until(() -> count(second, "\"request quarantined\"") >= 1);
            assertTrue(call(second, "deadly-3", DEADLY).startsWith("HTTP/1.1 429"));
            assertEquals(3, mCrashes.get());
        }
    }

    @Test
    void aPathThatNoTargetAnswersIsRefusedWithAnyBody() throws IOException {
        try (TestGateway gateway = startGateway(6)) {
            for (int i = 0; i < 3; i++) {
                var _ = call(gateway, "/unsafe/broken", "deadly-" + i, DEADLY);
                int observed = i + 1;
                Awaitility.await().until(() -> count(gateway, "\"target down\"") >= observed);
            }
            String answer = call(gateway, "/unsafe/broken", "deadly-3", DEADLY + 3);
            assertTrue(answer.startsWith("HTTP/1.1 429"), answer);
            assertEquals(3, mCrashes.get());
        }
    }

    /** Guards against callers that are refused because another request of their path crashed. */
    @Test
    void otherRequestsOfAnAnsweredPathAreServedAfterDifferentBodiesCrashed() throws IOException {
        try (TestGateway gateway = startGateway(6)) {
            assertTrue(call(gateway, "r0", "harmless").startsWith("HTTP/1.1 200"));
            for (int i = 0; i < 4; i++) {
                var _ = call(gateway, "deadly-" + i, DEADLY + i);
                int observed = i + 1;
                Awaitility.await().until(() -> count(gateway, "\"target down\"") >= observed);
            }
            assertTrue(call(gateway, "r1", "other").startsWith("HTTP/1.1 200"));
        }
    }

    /** Guards against a crash that is missed because the probe came before the listener closed. */
    @Test
    void aTargetThatAcceptsConnectionsForAnotherMomentHasCrashed() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.socket().close();
                                    CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS)
                                            .execute(() -> closeUnchecked(exchange.target()));
                                });
                TestGateway gateway = TestGateway.with("tool", target)) {
            assertTrue(call(gateway, "deadly-0", DEADLY).startsWith("HTTP/1.1 502"));
            Awaitility.await().until(() -> count(gateway, "\"target down\"") == 1);
        }
    }

    private static void closeUnchecked(ScriptedTarget target) {
        try {
            target.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against a quarantine of requests whose answers targets lose without a crash. */
    @Test
    void lostAnswersOfTargetsThatStillRunAreNoCrashes() throws IOException {
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    if (number < 8) {
                                        exchange.reset();
                                        return;
                                    }
                                    exchange.answer(200, "", "done");
                                });
                TestGateway gateway = TestGateway.with("tool", target)) {
            for (int i = 0; i < 8; i++) {
                assertTrue(call(gateway, "r" + i, "body").startsWith("HTTP/1.1 502"));
            }
            assertTrue(call(gateway, "r8", "body").startsWith("HTTP/1.1 200"));
            assertEquals(0, count(gateway, "\"target down\""));
        }
    }

    private static int count(TestGateway gateway, String text) {
        return gateway.logs().split(text, -1).length - 1;
    }
}
