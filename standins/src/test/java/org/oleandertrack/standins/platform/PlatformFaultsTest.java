package org.oleandertrack.standins.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.standins.HttpTestClient;
import org.oleandertrack.standins.Standin;

class PlatformFaultsTest {

    private Standin mPlatform;
    private HttpTestClient mClient;

    @BeforeEach
    void start() throws IOException {
        mPlatform = Standin.platform("127.0.0.1", 0);
        mClient = new HttpTestClient(mPlatform);
    }

    @AfterEach
    void stop() throws IOException {
        mPlatform.close();
    }

    /** Guards against dropping the response of a write without executing the write. */
    @Test
    void writeWhoseResponseIsDroppedTakesEffect() throws Exception {
        setFaults("{\"loseReplies\":1}");

        assertThrows(IOException.class, () -> write("a", 0));
        assertTrue(exists("a"));
        assertEquals(200, write("b", 0).statusCode());
    }

    /** Guards against executing a refused write. */
    @Test
    void refusedWriteDoesNothing() throws Exception {
        setFaults("{\"refuseWrites\":1}");

        assertEquals(503, write("a", 0).statusCode());
        assertFalse(exists("a"));
        assertEquals(200, write("a", 0).statusCode());
    }

    /** Guards against an outage during which requests succeed, and one that does not end. */
    @Test
    void outageEndsWithTheNextFaultSetting() throws Exception {
        setFaults("{\"mode\":\"down\",\"downAs\":\"close\"}");
        assertThrows(IOException.class, () -> mClient.get(readPath("a")));
        setFaults("{\"mode\":\"down\",\"downAs\":\"refuse\"}");
        assertEquals(503, write("a", 0).statusCode());
        setFaults("{\"mode\":\"up\"}");
        assertFalse(exists("a"));
    }

    /** Guards against executing a write that hung and was closed without a response. */
    @Test
    void hangingRequestIsClosedWithoutEffectWhenTheOutageEnds() throws Exception {
        setFaults("{\"mode\":\"down\",\"downAs\":\"hang\"}");
        CompletableFuture<HttpResponse<String>> write =
                mClient.postAsync("/rows-tx", writeBody("a", 0));
        await().until(() -> mClient.json("/control/stats").path("held").asInt() == 1);

        setFaults("{}");

        assertThrows(ExecutionException.class, write::get);
        assertFalse(exists("a"));
    }

    /** Guards against executing a write that the simulated rate limit refused. */
    @Test
    void rateLimitedWriteDoesNothing() throws Exception {
        setFaults("{\"mode\":\"down\",\"downAs\":\"limit\"}");
        assertEquals(429, write("a", 0).statusCode());
        setFaults("{}");
        assertFalse(exists("a"));
    }

    /**
     * Guards against executing a deferred write at once, with which tests of deferred writes would
     * pass without testing anything.
     */
    @Test
    void deferredWriteTakesEffectAfterItsConnectionWasClosed() throws Exception {
        setFaults("{\"lateWrites\":1,\"lateMillis\":300}");

        assertThrows(IOException.class, () -> write("a", 0));
        assertFalse(exists("a"));
        await().until(() -> exists("a"));
    }

    /**
     * Guards against a change feed that omits the changes of a cleared history without an error.
     */
    @Test
    void feedReportsGoneAfterTheHistoryIsCleared() throws Exception {
        write("a", 0);
        mClient.post("/control/forget", "{}");

        assertEquals(410, mClient.get("/rows-feed?table=t&after=0&wait_ms=0").statusCode());
        assertEquals(200, mClient.get("/rows-feed?table=t&after=1&wait_ms=0").statusCode());
    }

    /** Guards against a slow store that drops a write because its client disconnected. */
    @Test
    void delayedWriteTakesEffectAfterItsClientDisconnects() throws Exception {
        setFaults("{\"delayMillis\":200}");
        String body = writeBody("a", 0);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mPlatform.port())) {
            String request =
                    "POST /rows-tx HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
                            .formatted(body.length(), body);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        }

        await().until(() -> mClient.json("/control/stats").path("rowsWritten").asInt() == 1);
        assertTrue(exists("a"));
    }

    /** Guards against a fault that applies to keys outside its prefix. */
    @Test
    void prefixRestrictsFaults() throws Exception {
        setFaults("{\"mode\":\"down\",\"downAs\":\"refuse\",\"prefix\":\"config/\"}");

        assertEquals(503, write("config/1", 0).statusCode());
        assertEquals(200, write("member/1", 0).statusCode());
        assertEquals(503, mClient.get(readPath("config/")).statusCode());
        assertEquals(200, mClient.get(readPath("member/")).statusCode());
    }

    /** Guards against a store outage that affects the host list although it is not named. */
    @Test
    void hostListFailsOnlyIfTheFaultNamesIt() throws Exception {
        setFaults("{\"mode\":\"down\",\"downAs\":\"refuse\"}");
        assertEquals(200, mClient.get("/rows-get?table=hosts").statusCode());
        setFaults("{\"mode\":\"down\",\"downAs\":\"refuse\",\"services\":[\"hosts\"]}");
        assertEquals(503, mClient.get("/rows-get?table=hosts").statusCode());
        assertEquals(200, write("a", 0).statusCode());
    }

    /** Guards against altered bytes in stored objects, and wrong object counts. */
    @Test
    void objectsAreStoredByteForByteAndCounted() throws Exception {
        byte[] bytes = {0, (byte) 0xff, '\r', '\n', 'x'};
        mClient.send(
                mClient.request("/blob-put/o%2F1")
                        .PUT(HttpRequest.BodyPublishers.ofByteArray(bytes)));

        HttpResponse<String> response = mClient.get("/blob-get/o%2F1");
        assertEquals(bytes.length, response.headers().firstValueAsLong("Content-Length").orElse(0));
        assertTrue(response.body().endsWith("\r\nx"));
        mClient.send(mClient.request("/blob-drop/o%2F1").DELETE());
        assertEquals(404, mClient.get("/blob-get/o%2F1").statusCode());
        assertEquals(1, mClient.json("/control/stats").path("objectsPut").asInt());
        assertEquals(5, mClient.json("/control/stats").path("objectBytesPut").asInt());
    }

    /** Guards against wrong counts, on which measurements of writes per call rely. */
    @Test
    void statsCountRequestsRowsAndConflicts() throws Exception {
        write("a", 0);
        write("a", 0);
        mClient.get(readPath("a"));
        mClient.get("/rows-feed?table=t&after=0&wait_ms=0");

        var stats = mClient.json("/control/stats");
        assertEquals(2, stats.path("writeRequests").asInt());
        assertEquals(1, stats.path("rowsWritten").asInt());
        assertEquals(1, stats.path("conflicts").asInt());
        assertEquals(2, stats.path("reads").asInt());
    }

    /** Guards against a malformed transaction that gets a success response or is applied. */
    @Test
    void malformedWriteIsRefused() throws Exception {
        assertEquals(400, mClient.post("/rows-tx", "{").statusCode());
        assertEquals(400, mClient.post("/rows-tx", "{\"writes\":[{}]}").statusCode());
        assertFalse(mClient.json(readPath("")).path("rows").elements().hasNext());
    }

    private void setFaults(String json) throws Exception {
        assertEquals(200, mClient.post("/control/faults", json).statusCode());
    }

    private HttpResponse<String> write(String key, long expectedVersion) throws Exception {
        return mClient.post("/rows-tx", writeBody(key, expectedVersion));
    }

    private boolean exists(String key) throws Exception {
        return mClient.json(readPath(key)).path("rows").path(0).path("key").asText().equals(key);
    }

    private static String readPath(String from) {
        return "/rows-get?table=t&from=" + from;
    }

    private static String writeBody(String key, long expectedVersion) {
        String row = "\"table\":\"t\",\"part\":\"\",\"key\":\"%s\"".formatted(key);
        return "{\"expect\":[{%s,\"version_number\":%d}],\"writes\":[{%s,\"value\":\"dg==\"}]}"
                .formatted(row, expectedVersion, row);
    }
}
