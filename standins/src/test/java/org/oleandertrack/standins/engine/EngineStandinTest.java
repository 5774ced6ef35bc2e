package org.oleandertrack.standins.engine;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.standins.HttpTestClient;
import org.oleandertrack.standins.Standin;

class EngineStandinTest {

    private static final String COMPLETIONS = "/v1/chat/completions";

    private Standin mEngine;
    private HttpTestClient mClient;

    @BeforeEach
    void start() throws IOException {
        EngineOptions options =
                new EngineOptions(1, 0, 0, 1_000, 0, 0, 0, List.of("model"), true, "X-Request-Id");
        mEngine = Standin.engine("127.0.0.1", 0, options);
        mClient = new HttpTestClient(mEngine);
    }

    @AfterEach
    void stop() throws IOException {
        mEngine.close();
    }

    /**
     * Guards against answers that tests could not predict, or that are equal for other messages.
     */
    @Test
    void answerDependsOnlyOnTheMessages() throws Exception {
        JsonNode first = sendCompletion(body("one", 4, ""));
        JsonNode repeated = sendCompletion(body("one", 4, ""));
        JsonNode other = sendCompletion(body("two", 4, ""));

        assertEquals(text(first), text(repeated));
        assertNotEquals(text(first), text(other));
        JsonNode messages = HttpTestClient.parse("{" + messages("one") + "}").path("messages");
        assertEquals(Answer.expectedText(messages, 4), text(first));
        assertEquals(4, first.path("usage").path("completion_tokens").asInt());
    }

    /** Guards against a streamed answer whose text or usage differs from the whole answer. */
    @Test
    void streamCarriesOneEventPerTokenAndThenTheUsage() throws Exception {
        JsonNode whole = sendCompletion(body("one", 4, ""));
        String stream = mClient.post(COMPLETIONS, body("one", 4, ",\"stream\":true")).body();

        List<String> events = new ArrayList<>(List.of(stream.split("\n\n")));
        assertEquals("data: [DONE]", events.removeLast());
        JsonNode last = HttpTestClient.parse(events.removeLast().substring("data: ".length()));
        assertEquals(4, last.path("usage").path("completion_tokens").asInt());
        StringBuilder text = new StringBuilder();
        for (String event : events) {
            JsonNode chunk = HttpTestClient.parse(event.substring("data: ".length()));
            text.append(chunk.at("/choices/0/delta/content").asText());
        }
        assertEquals(4, events.size());
        assertEquals(text(whole), text.toString());
    }

    /**
     * Guards against ignoring the requested answer length, on which tests of token budgets rely.
     */
    @Test
    void lastUserMessageCanShortenTheAnswer() throws Exception {
        JsonNode shorter = sendCompletion(body("[tokens=2]", 4, ""));
        JsonNode capped = sendCompletion(body("[tokens=9]", 4, ""));

        assertEquals(2, shorter.path("usage").path("completion_tokens").asInt());
        assertEquals("stop", shorter.at("/choices/0/finish_reason").asText());
        assertEquals(4, capped.path("usage").path("completion_tokens").asInt());
        assertEquals("length", capped.at("/choices/0/finish_reason").asText());
    }

    /**
     * Guards against a turn that does not find the prompt and answer of the previous turn cached.
     */
    @Test
    void nextTurnFindsThePromptAndTheAnswerInTheCache() throws Exception {
        JsonNode first = sendCompletion(body("one two", 4, ",\"cache_owner\":\"p\""));
        JsonNode second =
                sendCompletion(
                        ("{\"model\":\"model\",\"messages\":["
                                        + "{\"role\":\"user\",\"content\":\"one two\"},"
                                        + "{\"role\":\"assistant\",\"content\":\"%s\"},"
                                        + "{\"role\":\"user\",\"content\":\"three\"}]}")
                                .formatted(text(first)));

        // A message counts one token for its role and one for each word: the first prompt has 3
        // tokens and its answer 5.
        assertEquals(8, second.at("/usage/prompt_tokens_details/cached_tokens").asInt());
        assertEquals(10, second.at("/usage/prompt_tokens").asInt());
        assertEquals(8, stats().at("/tokensByCacheOwner/p").asInt());
        mClient.post("/cache/release", "{\"cache_owner\":\"p\"}");
        assertTrue(stats().at("/tokensByCacheOwner/p").isMissingNode());
    }

    /**
     * Guards against a request that keeps its slot or queue position after its client disconnects.
     */
    @Test
    void closedConnectionCancelsRunningAndWaitingRequests() throws Exception {
        mClient.post("/control/faults", "{\"hang\":true}");
        try (Socket running = sendOnNewConnection(body("one", 4, ""))) {
            assertTrue(running.isConnected());
            await().until(() -> stats().path("running").asInt() == 1);
            try (Socket waiting = sendOnNewConnection(body("two", 4, ",\"stream\":true"))) {
                assertTrue(waiting.isConnected());
                await().until(() -> stats().path("waiting").asInt() == 1);
                assertEquals(1, mClient.json("/load").path("waiting").asInt());
            }
            await().until(() -> stats().path("cancelled").asInt() == 1);
            assertEquals(0, stats().path("waiting").asInt());
            assertEquals(1, stats().path("running").asInt());
        }
        await().until(() -> stats().path("cancelled").asInt() == 2);
        assertEquals(0, stats().path("running").asInt());

        mClient.post("/control/faults", "{}");
        sendCompletion(body("three", 4, ""));
        assertEquals(1, stats().path("finished").asInt());
    }

    /** Guards against a queue that ignores the priority or the order of arrival. */
    @Test
    void waitingRequestsStartByPriorityAndThenByArrival() throws Exception {
        mClient.post("/control/faults", "{\"hang\":true}");
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        int[] priorities = {0, 2, 1, 2, 1};
        for (int i = 0; i < priorities.length; i++) {
            String fields = ",\"priority\":%d,\"cache_owner\":\"r%d\"".formatted(priorities[i], i);
            responses.add(mClient.postAsync(COMPLETIONS, body("one", 1, fields)));
            int sent = i;
            await().until(() -> stats().path("waiting").asInt() == sent);
            await().until(() -> stats().path("running").asInt() == 1);
        }
        mClient.post("/control/faults", "{}");
        CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new)).join();

        assertEquals(
                List.of("r0", "r2", "r4", "r1", "r3"),
                stats().path("order")
                        .valueStream()
                        .map(start -> start.path("cacheOwner").asText())
                        .toList());
    }

    /** Guards against a cut answer that the client takes for a complete one. */
    @Test
    void cutAnswerIsNotComplete() throws Exception {
        mClient.post("/control/faults", "{\"cutAfterTokens\":2}");

        assertThrows(IOException.class, () -> sendCompletion(body("one", 4, "")));
        assertThrows(
                IOException.class,
                () -> mClient.post(COMPLETIONS, body("one", 4, ",\"stream\":true")));
        assertEquals(2, stats().path("cut").asInt());
        assertEquals(0, stats().path("finished").asInt());
    }

    /** Guards against counting a request as started although a simulated fault failed it. */
    @Test
    void failedRequestIsNotStarted() throws Exception {
        mClient.post("/control/faults", "{\"failNext\":1}");

        assertEquals(500, mClient.post(COMPLETIONS, body("one", 4, "")).statusCode());
        assertEquals(0, stats().path("started").asInt());
        sendCompletion(body("one", 4, ""));
    }

    /** Guards against executing the command of a former shard holder, which has a lower fence. */
    @Test
    void commandWithALowerFenceIsRefused() throws Exception {
        assertEquals(200, sendModelCommand("load", "second", 5));
        assertEquals(409, sendModelCommand("unload", "second", 4));
        assertEquals(200, sendModelCommand("load", "third", 5));
        assertEquals("[\"model\",\"second\",\"third\"]", stats().path("models").toString());
    }

    /** Guards against running a request for a model that is not loaded, or without messages. */
    @Test
    void unknownModelIsRefused() throws Exception {
        String body = body("one", 4, "").replace("\"model\":\"model\"", "\"model\":\"x\"");
        assertEquals(404, mClient.post(COMPLETIONS, body).statusCode());
        assertEquals(400, mClient.post(COMPLETIONS, "{\"model\":\"model\"}").statusCode());
    }

    private int sendModelCommand(String command, String model, long fence) throws Exception {
        String body =
                "{\"order\":\"%s\",\"model\":\"%s\",\"fence\":%d}".formatted(command, model, fence);
        return mClient.post("/admin/model", body).statusCode();
    }

    private Socket sendOnNewConnection(String body) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mEngine.port());
        String request =
                "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
                        .formatted(COMPLETIONS, body.length(), body);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private JsonNode sendCompletion(String body) throws Exception {
        HttpResponse<String> response = mClient.post(COMPLETIONS, body);
        assertEquals(200, response.statusCode(), response.body());
        return HttpTestClient.parse(response.body());
    }

    private JsonNode stats() throws Exception {
        return mClient.json("/control/stats");
    }

    private static String text(JsonNode completion) {
        return completion.at("/choices/0/message/content").asText();
    }

    private static String body(String content, int maxTokens, String moreFields) {
        return "{\"model\":\"model\",\"max_tokens\":%d,%s%s}"
                .formatted(maxTokens, messages(content), moreFields);
    }

    private static String messages(String content) {
        return "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]".formatted(content);
    }
}
