package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against a graceful stop that interrupts requests in progress. */
final class GatewayStopTest {

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void aStopCompletesCallsInProgressAndRefusesLaterOnes() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedTarget target =
                new ScriptedTarget(
                        (exchange, number) -> {
                            awaitLatch(release);
                            exchange.answer(200, "", "done");
                        })) {
            TestGateway gateway = TestGateway.with(10_000, "tool", target);
            TestClient busy = gateway.client();
            TestClient idle = gateway.client();
            busy.send("POST", "/patient/x", "r1", "", "body");
            Awaitility.await().until(() -> target.requests().size() == 1);
            Thread stop = Thread.startVirtualThread(gateway.host()::stop);
            String idleClientInput = idle.readUntil("never");
            assertTrue(idleClientInput.equals("<closed>"), idleClientInput);
            assertNewCallIsRefused(gateway);
            release.countDown();
            String answer = busy.readAnswer();
            assertTrue(answer.endsWith("done"), answer);
            assertTrue(answer.toLowerCase(java.util.Locale.ROOT).contains("connection: close"));
            stop.join();
        }
    }

    private static void assertNewCallIsRefused(TestGateway gateway) throws IOException {
        try (TestClient late = gateway.client()) {
            late.send("POST", "/unsafe/x", "r2", "", "body");
            String refusal = late.readAnswer();
            assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
            assertTrue(refusal.contains("SHUTTING_DOWN"), refusal);
        }
    }
}
