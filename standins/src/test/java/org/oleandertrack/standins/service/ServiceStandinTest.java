package org.oleandertrack.standins.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.standins.HttpTestClient;
import org.oleandertrack.standins.Standin;

class ServiceStandinTest {

    private Standin mService;
    private HttpTestClient mClient;

    @BeforeEach
    void start() throws IOException {
        mService = Standin.service("127.0.0.1", 0, 0);
        mClient = new HttpTestClient(mService);
    }

    @AfterEach
    void stop() throws IOException {
        mService.close();
    }

    /** Guards against an echo that would hide changes that a proxy made to the request. */
    @Test
    void callIsEchoed() throws Exception {
        HttpResponse<String> response =
                mClient.send(
                        mClient.request("/reserve/a%20b?x=1")
                                .header("Idempotency-Key", "k")
                                .method("PATCH", HttpRequest.BodyPublishers.ofString("body")));

        assertEquals("body", response.body());
        assertEquals("PATCH", response.headers().firstValue("Echo-Method").orElse(""));
        assertEquals("/reserve/a%20b?x=1", response.headers().firstValue("Echo-Path").orElse(""));
        assertEquals("k", response.headers().firstValue("Echo-Idempotency-Key").orElse(""));
    }

    /** Guards against not counting a call that was executed and whose response was dropped. */
    @Test
    void callClosedAfterItsExecutionIsCounted() throws Exception {
        mClient.post("/control/faults", "{\"executeThenClose\":1}");

        assertThrows(IOException.class, () -> sendOrder("k"));
        sendOrder("k");

        JsonNode executions = mClient.json("/control/executions");
        assertEquals(2, executions.path("total").asInt());
        assertEquals(2, executions.path("executions").path(0).path("count").asInt());
        assertEquals("k", executions.path("executions").path(0).path("idempotencyKey").asText());
    }

    /** Guards against counting a failed call as executed. */
    @Test
    void failedCallIsNotCounted() throws Exception {
        mClient.post("/control/faults", "{\"failNext\":1}");

        assertEquals(500, sendOrder("k").statusCode());
        assertEquals(0, mClient.json("/control/executions").path("total").asInt());
        assertEquals(200, sendOrder("k").statusCode());
        assertEquals(1, mClient.json("/control/executions").path("total").asInt());
    }

    private HttpResponse<String> sendOrder(String key) throws Exception {
        return mClient.send(
                mClient.request("/order")
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.noBody()));
    }
}
