package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.oleandertrack.standins.http.BadRequestException;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;
import org.oleandertrack.standins.http.RequestHandler;

/** Handles the API requests of the model engine and the control requests of tests. Thread-safe. */
public final class EngineHandler implements RequestHandler {

    private final EngineOptions mOptions;
    private final Engine mEngine;
    private final ModelRegistry mModels;

    public EngineHandler(EngineOptions options) {
        mOptions = options;
        mEngine = new Engine(options, System::nanoTime);
        mModels = new ModelRegistry(options.models(), options.checkFence());
    }

    @Override
    public void handle(Request request) throws IOException {
        switch (request.route()) {
            case "POST /v1/chat/completions" -> complete(request);
            case "POST /cache/release" -> releaseCache(request);
            case "GET /cache/events" ->
                    request.sendJson(
                            200,
                            mEngine.cacheEventsAfter(request.numericQueryParameter("after", 0)));
            case "GET /load" -> request.sendJson(200, mEngine.load());
            case "POST /admin/model" -> executeModelCommand(request);
            case "POST /control/faults" -> {
                mEngine.faults().replace(request.json());
                request.sendJson(200, Json.object());
            }
            case "GET /control/stats" -> sendStats(request);
            default -> request.sendError(404, "no such resource: " + request.route());
        }
    }

    private void complete(Request request) throws IOException {
        String requestId = request.header(mOptions.requestIdHeader()).orElse("");
        CompletionRequest completion = CompletionRequest.parse(request.json(), requestId);
        if (!mModels.isLoaded(completion.model())) {
            request.sendError(404, "the model \"" + completion.model() + "\" is not loaded");
            return;
        }
        mEngine.stats().mReceived.increment();
        if (mEngine.faults().consumeFailure()) {
            mEngine.stats().mFailed.increment();
            request.sendError(500, "a simulated fault fails the request before it runs");
            return;
        }
        Answer answer = new Answer(completion.prompt(), completion.maxTokens());
        TokenSink sink =
                completion.stream()
                        ? new StreamedAnswerSink(request, completion.model(), answer)
                        : new WholeAnswerSink(request, completion.model(), answer);
        mEngine.run(completion, answer, sink);
    }

    private void releaseCache(Request request) throws IOException {
        JsonNode owner = request.json().path("cache_owner");
        if (!owner.isTextual()) {
            throw new BadRequestException("\"cache_owner\" is not a string");
        }
        long tokens = mEngine.releaseCache(owner.asText());
        request.sendJson(200, Json.object().put("released_tokens", tokens));
    }

    private void executeModelCommand(Request request) throws IOException {
        JsonNode body = request.json();
        boolean accepted =
                mModels.execute(
                        body.path("order").asText(""),
                        body.path("model").asText(""),
                        body.path("fence").asLong(0));
        if (accepted) {
            request.sendJson(200, Json.object().put("accepted", true));
        } else {
            request.sendError(409, "the fencing number is lower than " + mModels.highestFence());
        }
    }

    private void sendStats(Request request) throws IOException {
        ObjectNode node = mEngine.statsJson();
        node.set("models", mModels.models());
        node.set("orders", mModels.acceptedCommands());
        request.sendJson(200, node);
    }
}
