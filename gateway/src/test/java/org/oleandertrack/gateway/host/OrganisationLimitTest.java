package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against limits that each gateway applies on its own, and that are lost with an issuer. */
final class OrganisationLimitTest {

    private static final double RATE = 20;
    private static final double BURST = 10;
    // More than the requests that can wait for permits: these accrue for 30 requests in 1.5 s.
    private static final int CLIENTS = 60;
    private static final String LIMITED = " birch:20:10 key-1";
    private static final Pattern ISSUER = Pattern.compile("\"issuer\":\"(node-\\d+)\",\"rank\":1");

    private final ScheduledExecutorService mExecutor = Executors.newSingleThreadScheduledExecutor();
    private final MemoryRowStore mStore = new MemoryRowStore(mExecutor);
    private final ScriptedTarget mTarget =
            new ScriptedTarget((exchange, number) -> exchange.answer(200, "", "done"));
    private final List<TestGateway> mGateways = new ArrayList<>();

    OrganisationLimitTest() throws IOException {
        for (int i = 0; i < 3; i++) {
            mGateways.add(new TestGateway(mStore, freePort()));
        }
        mStore.put(TestTables.CONFIG, "config", "1" + LIMITED);
        mGateways.getFirst().register("t0", "tool", mTarget.port(), false);
        for (TestGateway gateway : mGateways) {
            Awaitility.await().until(() -> gateway.logs().contains("\"configVersion\":1,"));
            gateway.awaitTargets(1);
        }
    }

    @AfterEach
    void stop() throws IOException {
        mGateways.forEach(TestGateway::close);
        mTarget.close();
        mExecutor.shutdownNow();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Test
    void theLimitHoldsAtAllHostsTogetherAndAfterTheIssuerHasStopped() throws IOException {
        long startNanos = System.nanoTime();
        // For 3 s, new hosts leave the issuing to others.
        int served = flood(4_000);
        assertEquals(served, mTarget.requests().size());
        assertTrue(served >= RATE, "served " + served);
        TestGateway issuer = issuer();
        mGateways.remove(issuer);
        issuer.close();
        served = flood(2_000);
        double seconds = (double) (System.nanoTime() - startNanos) / TimeUnit.SECONDS.toNanos(1);
        int sent = mTarget.requests().size();
        assertTrue(sent <= (RATE * seconds + BURST) * 1.1 + 20, sent + " in " + seconds + " s");
        // One of three hosts is out of reach, so the other one issues 0.70 of the rate.
        assertTrue(served >= 0.5 * RATE, "served " + served);
        assertTrue(
                mGateways.stream()
                        .anyMatch(gateway -> gateway.logs().contains("\"issuer failed\"")));
    }

    @Test
    void aRefusalStatesItsCauseAndTheTimeToReturn() throws IOException {
        String refusal = "";
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(mGateways.getFirst().client());
        }
        for (int i = 0; i < 10 && !refusal.startsWith("HTTP/1.1 429"); i++) {
            for (String answer : callAll(clients)) {
                refusal = answer.startsWith("HTTP/1.1 429") ? answer : refusal;
            }
        }
        for (TestClient client : clients) {
            client.close();
        }
        assertTrue(refusal.startsWith("HTTP/1.1 429"), refusal);
        assertTrue(refusal.contains("\"code\":3008"), refusal);
        assertTrue(refusal.contains("\"execution\":\"not run\""), refusal);
        assertFalse(ScriptedTarget.header(refusal, "retry-after").isEmpty(), refusal);
        String logs = mGateways.getFirst().logs();
        assertTrue(logs.contains("\"over the limit\",\"organisation\":\"birch\""), logs);
    }

    private TestGateway issuer() {
        String name = "";
        for (TestGateway gateway : mGateways) {
            Matcher matcher = ISSUER.matcher(gateway.logs());
            name = matcher.find() ? matcher.group(1) : name;
        }
        String issuer = name;
        return mGateways.stream()
                .filter(gateway -> gateway.settings().nodeName().equals(issuer))
                .findFirst()
                .orElseThrow();
    }

    private int flood(long millis) throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(mGateways.get(i % mGateways.size()).client());
        }
        int served = 0;
        while (System.nanoTime() - endNanos < 0) {
            for (String answer : callAll(clients)) {
                boolean ok = answer.startsWith("HTTP/1.1 200");
                assertTrue(ok || answer.startsWith("HTTP/1.1 429"), answer);
                served += ok ? 1 : 0;
            }
        }
        for (TestClient client : clients) {
            client.close();
        }
        return served;
    }

    /** Sends a request of each client at the same time. */
    private static List<String> callAll(List<TestClient> clients) throws IOException {
        for (TestClient client : clients) {
            client.send("GET", "/safe/x", "r", "Key: key-1\r\n", "");
        }
        List<String> answers = new ArrayList<>();
        for (TestClient client : clients) {
            answers.add(client.readAnswer());
        }
        return answers;
    }
}
