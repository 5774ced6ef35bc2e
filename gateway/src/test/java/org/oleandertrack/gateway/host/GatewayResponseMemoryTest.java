package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

/** Guards against many responses that wait for their rest and fill the heap together. */
final class GatewayResponseMemoryTest {

    // Of a gateway of the tests, 1 MB is for responses that are held.
    private static final int RESPONSES = 8;
    private static final String KILOBYTE = "x".repeat(1_024);
    private static final String PART = KILOBYTE.repeat(200);

    private static List<TestClient> send(TestGateway gateway, String path) throws IOException {
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < RESPONSES; i++) {
            TestClient client = gateway.client();
            client.send("POST", path, "r" + i, "", "body");
            clients.add(client);
        }
        return clients;
    }

    private static void close(List<TestClient> clients) throws IOException {
        for (TestClient client : clients) {
            client.close();
        }
    }

    private static boolean isUsedUp(TestGateway gateway) {
        return gateway.logs().contains("\"response memory used up\"");
    }

    @Test
    void bodiesAreForwardedAsTheyArriveWhenTheMemoryIsUsedUp() throws IOException {
        CountDownLatch rest = new CountDownLatch(1);
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    String head = "HTTP/1.1 200 OK\r\nId: " + exchange.id();
                                    exchange.write(head + "\r\nContent-Length: 204804\r\n\r\n");
                                    exchange.write(PART);
                                    TestGateway.awaitLatch(rest);
                                    exchange.write("rest");
                                });
                TestGateway gateway = TestGateway.with("tool", target)) {
            List<TestClient> clients = send(gateway, "/patient/x");
            Awaitility.await().until(() -> isUsedUp(gateway));
            rest.countDown();
            for (TestClient client : clients) {
                String answer = client.readAnswer();
                assertTrue(answer.startsWith("HTTP/1.1 200"), answer.substring(0, 100));
                assertEquals(PART.length(), answer.chars().filter(c -> c == 'x').count());
                assertTrue(answer.contains("rest"));
            }
            close(clients);
        }
    }

    @Test
    void anEventWithoutEndIsCutOffSoonerWhenTheMemoryIsUsedUp() throws IOException {
        CountDownLatch rest = new CountDownLatch(1);
        try (ScriptedTarget target =
                        new ScriptedTarget(
                                (exchange, number) -> {
                                    exchange.startStream("id: 1\ndata: a\n\nid: 2\ndata: ");
                                    exchange.chunk(PART);
                                    TestGateway.awaitLatch(rest);
                                    exchange.chunk("\n\n");
                                    exchange.endStream();
                                });
                TestGateway gateway = TestGateway.with("engine", target)) {
            List<TestClient> clients = send(gateway, "/talk/x");
            Awaitility.await().until(() -> isUsedUp(gateway));
            rest.countDown();
            int whole = 0;
            for (TestClient client : clients) {
                whole += client.readAnswer().endsWith("<closed>") ? 0 : 1;
            }
            assertTrue(whole > 0 && whole < RESPONSES, whole + " streams are whole");
            close(clients);
        }
    }
}
