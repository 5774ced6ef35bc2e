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
import org.oleandertrack.standins.HttpProbe;
import org.oleandertrack.standins.Standin;

class ServiceStandinTest {

    private Standin mService;
    private HttpProbe mProbe;

    @BeforeEach
    void start() throws IOException {
        mService = Standin.service("127.0.0.1", 0, 0);
        mProbe = new HttpProbe(mService);
    }

    @AfterEach
    void stop() throws IOException {
        mService.close();
    }

    /** Guards against an echo that hides what a proxy changed. */
    @Test
    void callIsEchoed() throws Exception {
        HttpResponse<String> answer =
                mProbe.send(
                        mProbe.request("/reserve/a%20b?x=1")
                                .header("Idempotency-Key", "k")
                                .method("PATCH", HttpRequest.BodyPublishers.ofString("body")));

        assertEquals("body", answer.body());
        assertEquals("PATCH", answer.headers().firstValue("Echo-Method").orElse(""));
        assertEquals("/reserve/a%20b?x=1", answer.headers().firstValue("Echo-Path").orElse(""));
        assertEquals("k", answer.headers().firstValue("Echo-Idempotency-Key").orElse(""));
    }

    /** Guards against a lost count of a call that ran although its answer was lost. */
    @Test
    void callClosedAfterItsExecutionIsCounted() throws Exception {
        mProbe.post("/control/faults", "{\"executeThenClose\":1}");

        assertThrows(IOException.class, () -> order("k"));
        order("k");

        JsonNode executions = mProbe.json("/control/executions");
        assertEquals(2, executions.path("total").asInt());
        assertEquals(2, executions.path("executions").path(0).path("count").asInt());
        assertEquals("k", executions.path("executions").path(0).path("idempotencyKey").asText());
    }

    /** Guards against a failed call that counts as executed. */
    @Test
    void failedCallIsNotCounted() throws Exception {
        mProbe.post("/control/faults", "{\"failNext\":1}");

        assertEquals(500, order("k").statusCode());
        assertEquals(0, mProbe.json("/control/executions").path("total").asInt());
        assertEquals(200, order("k").statusCode());
        assertEquals(1, mProbe.json("/control/executions").path("total").asInt());
    }

    private HttpResponse<String> order(String key) throws Exception {
        return mProbe.send(
                mProbe.request("/order")
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.noBody()));
    }
}
