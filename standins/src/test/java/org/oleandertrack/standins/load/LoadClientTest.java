package org.oleandertrack.standins.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleandertrack.standins.HttpTestClient;
import org.oleandertrack.standins.Standin;
import org.oleandertrack.standins.engine.EngineOptions;

class LoadClientTest {

    private static final int CALLS = 50;
    private static final int CONCURRENCY = 4;

    /** Guards against calls that are not sent, sent twice, or sent with a wrong call number. */
    @Test
    void eachCallIsSentOnceWithItsNumber() throws Exception {
        try (Standin service = Standin.service("127.0.0.1", 0, 0)) {
            LoadOptions options =
                    options(service, "/x", List.of("Idempotency-Key: k-{n}"), "call {n}", false);

            LoadResult result = new LoadClient(options).run();

            assertEquals(CALLS, result.completedCalls());
            assertEquals(0, result.errorCount());
            JsonNode executions = new HttpTestClient(service).json("/control/executions");
            assertEquals(CALLS, executions.path("total").asInt());
            assertEquals(CALLS, executions.path("executions").size());
            assertEquals(50L * 5 + 9 + 41 * 2, result.toJson().path("bodyBytes").asLong());
        }
    }

    /** Guards against counting errors as completed calls, and against retrying a failed call. */
    @Test
    void errorsAreCountedByKindAndNotRetried() throws Exception {
        try (Standin service = Standin.service("127.0.0.1", 0, 0)) {
            HttpTestClient client = new HttpTestClient(service);
            client.post("/control/faults", "{\"failNext\":2,\"executeThenClose\":3}");

            LoadResult result =
                    new LoadClient(options(service, "/x", List.of(), "body", false)).run();

            assertEquals(CALLS - 5, result.completedCalls());
            assertEquals(5, result.errorCount());
            assertEquals(2, result.toJson().at("/errorKinds/status 500").asInt());
            assertEquals(CALLS - 2, client.json("/control/executions").path("total").asInt());
        }
    }

    /** Guards against counting a stream that ends early as completed. */
    @Test
    void streamsWithoutEndMarkerAreErrors() throws Exception {
        try (Standin engine = Standin.engine("127.0.0.1", 0, EngineOptions.immediate())) {
            LoadOptions options =
                    options(engine, "/v1/chat/completions", List.of(), streamBody(), true);

            LoadResult complete = new LoadClient(options).run();
            assertEquals(CALLS, complete.completedCalls());
            assertTrue(complete.bodyReads() >= CALLS);
            assertTrue(complete.toJson().path("firstByteP50Micros").isNumber());

            new HttpTestClient(engine).post("/control/faults", "{\"cutAfterTokens\":2}");
            LoadResult cut = new LoadClient(options).run();
            assertEquals(0, cut.completedCalls());
            assertEquals(CALLS, cut.errorCount());
        }
    }

    /** Guards against a run that exceeds its time limit because the server hangs. */
    @Test
    void runEndsAtItsTimeLimit() throws Exception {
        try (Standin service = Standin.service("127.0.0.1", 0, 0)) {
            new HttpTestClient(service).post("/control/faults", "{\"hang\":true}");

            URI url = URI.create("http://127.0.0.1:" + service.port() + "/x");
            LoadOptions options =
                    new LoadOptions(url, "GET", List.of(), "", false, CALLS, CONCURRENCY, 1);

            LoadResult result = new LoadClient(options).run();

            assertEquals(0, result.completedCalls());
            assertEquals(CONCURRENCY, result.toJson().at("/errorKinds/timeout").asInt());
        }
    }

    /** Guards against settings with an excessive time limit or without calls. */
    @Test
    void loadWithoutValidBoundsIsRejected() {
        URI url = URI.create("http://127.0.0.1:1/");
        assertThrows(
                IllegalArgumentException.class,
                () -> new LoadOptions(url, "GET", List.of(), "", false, 1, 1, 601));
        assertThrows(
                IllegalArgumentException.class,
                () -> new LoadOptions(url, "GET", List.of(), "", false, 0, 1, 1));
    }

    private static LoadOptions options(
            Standin server, String path, List<String> headers, String body, boolean stream) {
        URI url = URI.create("http://127.0.0.1:" + server.port() + path);
        return new LoadOptions(url, "POST", headers, body, stream, CALLS, CONCURRENCY, 30);
    }

    private static String streamBody() {
        return "{\"model\":\"model\",\"stream\":true,\"max_tokens\":4,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"{n}\"}]}";
    }
}
