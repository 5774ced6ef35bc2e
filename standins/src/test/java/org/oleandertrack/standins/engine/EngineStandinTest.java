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
import org.oleandertrack.standins.HttpProbe;
import org.oleandertrack.standins.Standin;

class EngineStandinTest {

    private static final String COMPLETIONS = "/v1/chat/completions";

    private Standin mEngine;
    private HttpProbe mProbe;

    @BeforeEach
    void start() throws IOException {
        EngineOptions options =
                new EngineOptions(1, 0, 0, 1_000, 0, 0, 0, List.of("model"), true, "X-Request-Id");
        mEngine = Standin.engine("127.0.0.1", 0, options);
        mProbe = new HttpProbe(mEngine);
    }

    @AfterEach
    void stop() throws IOException {
        mEngine.close();
    }

    /** Guards against answers that tests cannot tell apart or predict. */
    @Test
    void answerDependsOnTheMessagesOnly() throws Exception {
        JsonNode first = complete(body("one", 4, ""));
        JsonNode again = complete(body("one", 4, ""));
        JsonNode other = complete(body("two", 4, ""));

        assertEquals(text(first), text(again));
        assertNotEquals(text(first), text(other));
        JsonNode messages = HttpProbe.parse("{" + messages("one") + "}").path("messages");
        assertEquals(Answer.expectedText(messages, 4), text(first));
        assertEquals(4, first.path("usage").path("completion_tokens").asInt());
    }

    /** Guards against a streamed answer that differs from the whole one. */
    @Test
    void streamCarriesOneEventPerTokenAndThenTheUsage() throws Exception {
        JsonNode whole = complete(body("one", 4, ""));
        String stream = mProbe.post(COMPLETIONS, body("one", 4, ",\"stream\":true")).body();

        List<String> events = new ArrayList<>(List.of(stream.split("\n\n")));
        assertEquals("data: [DONE]", events.removeLast());
        JsonNode last = HttpProbe.parse(events.removeLast().substring("data: ".length()));
        assertEquals(4, last.path("usage").path("completion_tokens").asInt());
        StringBuilder text = new StringBuilder();
        for (String event : events) {
            JsonNode chunk = HttpProbe.parse(event.substring("data: ".length()));
            text.append(chunk.at("/choices/0/delta/content").asText());
        }
        assertEquals(4, events.size());
        assertEquals(text(whole), text.toString());
    }

    /** Guards against a length that ignores the request, on which budget tests rely. */
    @Test
    void lastUserMessageCanShortenTheAnswer() throws Exception {
        JsonNode shorter = complete(body("[tokens=2]", 4, ""));
        JsonNode capped = complete(body("[tokens=9]", 4, ""));

        assertEquals(2, shorter.path("usage").path("completion_tokens").asInt());
        assertEquals("stop", shorter.at("/choices/0/finish_reason").asText());
        assertEquals(4, capped.path("usage").path("completion_tokens").asInt());
        assertEquals("length", capped.at("/choices/0/finish_reason").asText());
    }

    /** Guards against a next turn that misses the prefix of the turn before, and its answer. */
    @Test
    void nextTurnFindsThePromptAndTheAnswerInTheCache() throws Exception {
        JsonNode first = complete(body("one two", 4, ",\"cache_owner\":\"p\""));
        JsonNode second =
                complete(
                        ("{\"model\":\"model\",\"messages\":["
                                        + "{\"role\":\"user\",\"content\":\"one two\"},"
                                        + "{\"role\":\"assistant\",\"content\":\"%s\"},"
                                        + "{\"role\":\"user\",\"content\":\"three\"}]}")
                                .formatted(text(first)));

        // One token for each role and one for each word: 3 of the prompt and 5 of the answer.
        assertEquals(8, second.at("/usage/prompt_tokens_details/cached_tokens").asInt());
        assertEquals(10, second.at("/usage/prompt_tokens").asInt());
        assertEquals(8, stats().at("/tokensByCacheOwner/p").asInt());
        mProbe.post("/cache/release", "{\"cache_owner\":\"p\"}");
        assertTrue(stats().at("/tokensByCacheOwner/p").isMissingNode());
    }

    /** Guards against a request that keeps its slot, or its place, after its caller has gone. */
    @Test
    void closedConnectionCancelsRunningAndWaitingRequests() throws Exception {
        mProbe.post("/control/faults", "{\"hang\":true}");
        try (Socket running = open(body("one", 4, ""))) {
            assertTrue(running.isConnected());
            await().until(() -> stats().path("running").asInt() == 1);
            try (Socket waiting = open(body("two", 4, ",\"stream\":true"))) {
                assertTrue(waiting.isConnected());
                await().until(() -> stats().path("waiting").asInt() == 1);
                assertEquals(1, mProbe.json("/load").path("waiting").asInt());
            }
            await().until(() -> stats().path("cancelled").asInt() == 1);
            assertEquals(0, stats().path("waiting").asInt());
            assertEquals(1, stats().path("running").asInt());
        }
        await().until(() -> stats().path("cancelled").asInt() == 2);
        assertEquals(0, stats().path("running").asInt());

        mProbe.post("/control/faults", "{}");
        complete(body("three", 4, ""));
        assertEquals(1, stats().path("finished").asInt());
    }

    /** Guards against a queue that ignores the priority or the arrival. */
    @Test
    void waitingRequestsStartByPriorityAndThenByArrival() throws Exception {
        mProbe.post("/control/faults", "{\"hang\":true}");
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        int[] priorities = {0, 2, 1, 2, 1};
        for (int i = 0; i < priorities.length; i++) {
            String fields = ",\"priority\":%d,\"cache_owner\":\"r%d\"".formatted(priorities[i], i);
            answers.add(mProbe.postAsync(COMPLETIONS, body("one", 1, fields)));
            int sent = i;
            await().until(() -> stats().path("waiting").asInt() == sent);
            await().until(() -> stats().path("running").asInt() == 1);
        }
        mProbe.post("/control/faults", "{}");
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).join();

        assertEquals(
                List.of("r0", "r2", "r4", "r1", "r3"),
                stats().path("order")
                        .valueStream()
                        .map(start -> start.path("cacheOwner").asText())
                        .toList());
    }

    /** Guards against a cut stream that looks complete. */
    @Test
    void cutAnswerIsNotComplete() throws Exception {
        mProbe.post("/control/faults", "{\"cutAfterTokens\":2}");

        assertThrows(IOException.class, () -> complete(body("one", 4, "")));
        assertThrows(
                IOException.class,
                () -> mProbe.post(COMPLETIONS, body("one", 4, ",\"stream\":true")));
        assertEquals(2, stats().path("cut").asInt());
        assertEquals(0, stats().path("finished").asInt());
    }

    /** Guards against a failed request that counts as run. */
    @Test
    void failedRequestIsNotStarted() throws Exception {
        mProbe.post("/control/faults", "{\"failNext\":1}");

        assertEquals(500, mProbe.post(COMPLETIONS, body("one", 4, "")).statusCode());
        assertEquals(0, stats().path("started").asInt());
        complete(body("one", 4, ""));
    }

    /** Guards against an order of a former holder that takes effect on a checking engine. */
    @Test
    void olderFenceIsRefused() throws Exception {
        assertEquals(200, order("load", "second", 5));
        assertEquals(409, order("unload", "second", 4));
        assertEquals(200, order("load", "third", 5));
        assertEquals("[\"model\",\"second\",\"third\"]", stats().path("models").toString());
    }

    /** Guards against an answer from a model that is not loaded. */
    @Test
    void unknownModelIsRefused() throws Exception {
        String body = body("one", 4, "").replace("\"model\":\"model\"", "\"model\":\"x\"");
        assertEquals(404, mProbe.post(COMPLETIONS, body).statusCode());
        assertEquals(400, mProbe.post(COMPLETIONS, "{\"model\":\"model\"}").statusCode());
    }

    private int order(String order, String model, long fence) throws Exception {
        String body =
                "{\"order\":\"%s\",\"model\":\"%s\",\"fence\":%d}".formatted(order, model, fence);
        return mProbe.post("/admin/model", body).statusCode();
    }

    private Socket open(String body) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mEngine.port());
        String request =
                "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
                        .formatted(COMPLETIONS, body.length(), body);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private JsonNode complete(String body) throws Exception {
        HttpResponse<String> answer = mProbe.post(COMPLETIONS, body);
        assertEquals(200, answer.statusCode(), answer.body());
        return HttpProbe.parse(answer.body());
    }

    private JsonNode stats() throws Exception {
        return mProbe.json("/control/stats");
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
