package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** Guards against streams that are joined from two software versions of a service's targets. */
@ExtendWith(KnownFailureExtension.class)
final class StreamVersionTest {

    private static final int STREAMS = 6;

    private static String event(int id) {
        return "id: " + id + "\ndata: e" + id + "\n\n";
    }

    // Sends the first event of each new stream, and completes a stream that is continued.
    private static ScriptedTarget engine() throws IOException {
        return new ScriptedTarget(
                (exchange, number) -> {
                    if (ScriptedTarget.header(exchange.head(), "Resume-After").isEmpty()) {
                        exchange.startStream(event(1));
                        exchange.awaitPeerClose();
                        return;
                    }
                    exchange.startStream(event(2));
                    exchange.endStream();
                });
    }

    private static void beginStream(TestGateway gateway, int number) throws IOException {
        try (TestClient client = gateway.client()) {
            client.send("POST", "/turn/x", "r" + number, "Program: p" + number + "\r\n", "prompt");
            assertTrue(client.readUntil("e1\n\n").startsWith("HTTP/1.1 200"));
        }
    }

    private static String takeUp(TestGateway gateway, int number) throws IOException {
        try (TestClient client = gateway.client()) {
            client.send(
                    "POST",
                    "/turn/x",
                    "again" + number,
                    "Program: p" + number + "\r\nFirst-Id: r" + number + "\r\nResume-After: 1\r\n",
                    "prompt");
            return client.readAnswer();
        }
    }

    private static String takeUpUnnamed(TestGateway gateway) throws IOException {
        try (TestClient client = gateway.client()) {
            client.send("POST", "/turn/x", "again", "Resume-After: 1\r\n", "prompt");
            return client.readAnswer();
        }
    }

    private static void assertNotRun(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.contains("\"execution\":\"not run\""), answer);
    }

    @Test
    void aStreamIsNotResumedWithinItsResponseAtAnotherVersion() throws IOException {
        CountDownLatch newerIsKnown = new CountDownLatch(1);
        try (ScriptedTarget newer = engine();
                ScriptedTarget older =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(event(1));
                                    TestGateway.awaitLatch(newerIsKnown);
                                    exchange.target().close();
                                    exchange.reset();
                                });
                TestGateway gateway = new TestGateway(1_000)) {
            gateway.configure(1);
            gateway.registerVersion("old", "engine", older.port(), "v1");
            gateway.awaitTargets(1);
            try (TestClient client = gateway.client()) {
                client.send("POST", "/turn/x", "r1", "", "prompt");
                client.readUntil("e1\n\n");
                gateway.registerVersion("new", "engine", newer.port(), "v2");
                gateway.awaitTargets(2);
                newerIsKnown.countDown();
                String rest = client.readUntil("0\r\n\r\n");
                assertTrue(rest.endsWith("<closed>"), rest);
            }
            assertEquals(List.of(), newer.requests());
        }
    }

    @Test
    void aStreamTakenUpAtAHostThatStartsAnewContinuesAtTheVersionThatBeganIt() throws IOException {
        try (ScriptedTarget newer = engine();
                ScriptedTarget older = engine();
                TestGateway first = new TestGateway(1_000)) {
            first.configure(1);
            first.registerVersion("t1", "engine", older.port(), "v1");
            first.awaitTargets(1);
            for (int i = 0; i < STREAMS; i++) {
                beginStream(first, i);
            }
            first.host().stop();
            first.registerVersion("t0", "engine", newer.port(), "v2");
            try (TestGateway second = new TestGateway(first.store())) {
                second.configure(2);
                second.awaitTargets(2);
                for (int i = 0; i < STREAMS; i++) {
                    String answer = takeUp(second, i);
                    assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
                    assertTrue(answer.contains("e2"), answer);
                }
            }
            assertEquals(List.of(), newer.requests());
        }
    }

    @Test
    void aStreamIsNotResumedAtATargetThatRestartedWithAnotherVersionUnderItsId()
            throws IOException {
        CountDownLatch restartIsKnown = new CountDownLatch(1);
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream(event(number + 1));
                                    TestGateway.awaitLatch(restartIsKnown);
                                    exchange.reset();
                                });
                TestGateway gateway = TestGateway.with("engine", target);
                TestClient client = gateway.client()) {
            client.send("POST", "/turn/x", "r1", "", "prompt");
            client.readUntil("e1\n\n");
            gateway.registerVersion("t0", "engine", target.port(), "v2");
            gateway.awaitTargets(2);
            restartIsKnown.countDown();
            String rest = client.readUntil("0\r\n\r\n");
            assertTrue(rest.endsWith("<closed>"), rest);
            assertEquals(1, target.requests().size());
        }
    }

    @Test
    void aStreamTakenUpWhileTheStoreIsAwayStaysAtItsVersion() throws IOException {
        try (ScriptedTarget newer = engine();
                ScriptedTarget older = engine();
                TestGateway gateway = new TestGateway(1_000)) {
            gateway.configure(1);
            gateway.registerVersion("t0", "engine", newer.port(), "v2");
            gateway.awaitTargets(1);
            gateway.register("t0", "engine", newer.port(), true);
            gateway.registerVersion("t1", "engine", older.port(), "v1");
            gateway.awaitTargets(2);
            gateway.store().setUnresponsive(true);
            for (int i = 0; i < STREAMS; i++) {
                beginStream(gateway, i);
            }
            gateway.registerVersion("t2", "engine", newer.port(), "v2");
            gateway.awaitTargets(3);
            for (int i = 0; i < STREAMS; i++) {
                assertTrue(takeUp(gateway, i).contains("e2"));
                assertTrue(takeUp(gateway, i).contains("e2"), "a second take-up");
            }
            assertEquals(List.of(), newer.requests());
        }
    }

    @Test
    void aStreamWhoseVersionNoTargetHasIsRefusedAsNotRun() throws IOException {
        try (ScriptedTarget newer = engine();
                ScriptedTarget older = engine();
                TestGateway gateway = new TestGateway(1_000)) {
            gateway.configure(1);
            gateway.registerVersion("t1", "engine", older.port(), "v1");
            gateway.awaitTargets(1);
            beginStream(gateway, 1);
            gateway.registerVersion("t0", "engine", newer.port(), "v2");
            gateway.register("t1", "engine", older.port(), true);
            Awaitility.await().until(() -> gateway.logs().contains("\"target removed\""));
            assertNotRun(takeUp(gateway, 1));
            assertEquals(List.of(), newer.requests());
        }
    }

    @Test
    void aStreamTakenUpWhileNoTargetIsKnownMayBeTakenUpLater() throws IOException {
        try (ScriptedTarget target = engine();
                TestGateway gateway = TestGateway.with("engine", target)) {
            beginStream(gateway, 1);
            gateway.register("t0", "engine", target.port(), true);
            Awaitility.await().until(() -> gateway.logs().contains("\"target removed\""));
            String answer = takeUp(gateway, 1);
            assertNotRun(answer);
            assertTrue(answer.contains("NO_TARGET_AVAILABLE"), answer);
            gateway.registerVersion("t1", "engine", target.port(), "v1");
            gateway.awaitTargets(2);
            assertTrue(takeUp(gateway, 1).contains("e2"));
        }
    }

    @Test
    void aStreamWhoseBeginningIsUnknownIsRefusedAsNotRun() throws IOException {
        try (ScriptedTarget target = engine();
                TestGateway gateway = TestGateway.with("engine", target)) {
            gateway.registerVersion("t1", "engine", target.port(), "v2");
            gateway.awaitTargets(2);
            assertNotRun(takeUp(gateway, 1));
            assertNotRun(takeUpUnnamed(gateway));
            assertEquals(List.of(), target.requests());
        }
    }

    @Test
    void aStreamThatItsCallerDoesNotNameContinuesWhileTheServiceHasOneVersion() throws IOException {
        try (ScriptedTarget target = engine();
                TestGateway gateway = TestGateway.with("engine", target)) {
            assertTrue(takeUpUnnamed(gateway).contains("e2"));
        }
    }
}
