package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against times that the gateway observes but does not learn from, or does not log. */
final class LearnedTargetTimesTest {

    private static final int ROUNDS = 6;
    private static final int CLIENTS = 6;
    private static final int EVENTS = 5;
    // A factor below the dead band, which begins at 0.83.
    private static final Pattern LOW_FACTOR = Pattern.compile("\"factor\":0\\.[1-7]");

    private static ScriptedTarget engine(int gapMillis) throws IOException {
        return new ScriptedTarget(
                (exchange, number) -> {
                    exchange.write(
                            "HTTP/1.1 200 OK\r\nId: "
                                    + exchange.id()
                                    + "\r\nRunning: 1\r\nContent-Type: text/event-stream\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n");
                    for (int i = 1; i <= EVENTS; i++) {
                        exchange.pauseMillis(gapMillis);
                        exchange.chunk("id: " + i + "\ndata: e\n\n");
                    }
                    exchange.endStream();
                });
    }

    private static void runTurns(TestGateway gateway, String prefix) throws IOException {
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(gateway.client());
            String id = prefix + i;
            clients.getLast().send("POST", "/turn/x", id, "Program: " + id + "\r\n", "prompt");
        }
        for (TestClient client : clients) {
            assertTrue(client.readAnswer().startsWith("HTTP/1.1 200"));
            client.close();
        }
    }

    @Test
    void theFasterEngineGetsMoreAndTheEndOfACallHasThePredictedTime() throws IOException {
        try (ScriptedTarget fast = engine(8);
                ScriptedTarget slow = engine(40);
                TestGateway gateway = TestGateway.with("engine", fast, slow)) {
            for (int round = 0; round < ROUNDS; round++) {
                runTurns(gateway, "r" + round + "-");
            }
            Awaitility.await().until(() -> LOW_FACTOR.matcher(gateway.logs()).find());
            String logs = gateway.logs();
            assertTrue(logs.contains("\"predictedMs\":"), logs);
            assertTrue(logs.contains("\"actualMs\":"), logs);
            assertTrue(fast.requests().size() > 3 * slow.requests().size(), logs);
        }
    }
}
