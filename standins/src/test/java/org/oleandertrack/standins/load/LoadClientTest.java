package org.oleandertrack.standins.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleandertrack.standins.HttpProbe;
import org.oleandertrack.standins.Standin;
import org.oleandertrack.standins.engine.EngineOptions;

class LoadClientTest {

    private static final int CALLS = 50;
    private static final int CONCURRENCY = 4;

    /** Guards against calls that are lost, repeated, or sent with the number of another call. */
    @Test
    void eachCallIsSentOnceWithItsNumber() throws Exception {
        try (Standin service = Standin.service("127.0.0.1", 0, 0)) {
            LoadOptions options =
                    options(service, "/x", List.of("Idempotency-Key: k-{n}"), "call {n}", false);

            LoadResult result = new LoadClient(options).run();

            assertEquals(CALLS, result.count());
            assertEquals(0, result.errors());
            JsonNode executions = new HttpProbe(service).json("/control/executions");
            assertEquals(CALLS, executions.path("total").asInt());
            assertEquals(CALLS, executions.path("executions").size());
            assertEquals(50L * 5 + 9 + 41 * 2, result.toJson().path("bodyBytes").asLong());
        }
    }

    /** Guards against errors that count as answers, and against a failed call that is repeated. */
    @Test
    void errorsAreCountedByKindAndNotRepeated() throws Exception {
        try (Standin service = Standin.service("127.0.0.1", 0, 0)) {
            HttpProbe probe = new HttpProbe(service);
            probe.post("/control/faults", "{\"failNext\":2,\"executeThenClose\":3}");

            LoadResult result =
                    new LoadClient(options(service, "/x", List.of(), "body", false)).run();

            assertEquals(CALLS - 5, result.count());
            assertEquals(5, result.errors());
            assertEquals(2, result.toJson().at("/errorKinds/status 500").asInt());
            assertEquals(CALLS - 2, probe.json("/control/executions").path("total").asInt());
        }
    }

    /** Guards against a stream that ends early and counts as complete. */
    @Test
    void streamsAreCountedOnlyWithTheirEnd() throws Exception {
        try (Standin engine = Standin.engine("127.0.0.1", 0, EngineOptions.immediate())) {
            LoadOptions options =
                    options(engine, "/v1/chat/completions", List.of(), streamBody(), true);

            LoadResult complete = new LoadClient(options).run();
            assertEquals(CALLS, complete.count());
            assertTrue(complete.chunkArrivals() >= CALLS);
            assertTrue(complete.toJson().path("firstByteP50Micros").isNumber());

            new HttpProbe(engine).post("/control/faults", "{\"cutAfterTokens\":2}");
            LoadResult cut = new LoadClient(options).run();
            assertEquals(0, cut.count());
            assertEquals(CALLS, cut.errors());
        }
    }

    /** Guards against a run that does not end while its target hangs. */
    @Test
    void runEndsWhenItsTimeIsOver() throws Exception {
        try (Standin service = Standin.service("127.0.0.1", 0, 0)) {
            new HttpProbe(service).post("/control/faults", "{\"hang\":true}");

            URI url = URI.create("http://127.0.0.1:" + service.port() + "/x");
            LoadOptions options =
                    new LoadOptions(url, "GET", List.of(), "", false, CALLS, CONCURRENCY, 1);

            LoadResult result = new LoadClient(options).run();

            assertEquals(0, result.count());
            assertEquals(CONCURRENCY, result.toJson().at("/errorKinds/timeout").asInt());
        }
    }

    /** Guards against load without a bound. */
    @Test
    void unboundedLoadIsRefused() {
        URI url = URI.create("http://127.0.0.1:1/");
        assertThrows(
                IllegalArgumentException.class,
                () -> new LoadOptions(url, "GET", List.of(), "", false, 1, 1, 601));
        assertThrows(
                IllegalArgumentException.class,
                () -> new LoadOptions(url, "GET", List.of(), "", false, 0, 1, 1));
    }

    private static LoadOptions options(
            Standin target, String path, List<String> headers, String body, boolean stream) {
        URI url = URI.create("http://127.0.0.1:" + target.port() + path);
        return new LoadOptions(url, "POST", headers, body, stream, CALLS, CONCURRENCY, 30);
    }

    private static String streamBody() {
        return "{\"model\":\"model\",\"stream\":true,\"max_tokens\":4,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"{n}\"}]}";
    }
}
