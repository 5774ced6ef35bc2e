package org.oleandertrack.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.LongAdder;
import org.oleandertrack.standins.http.Json;

/** Counts requests by outcome, and tokens, since the engine started. Thread-safe. */
final class EngineStats {

    private static final int MAX_STARTED_REQUESTS = 100_000;

    final LongAdder mReceived = new LongAdder();
    final LongAdder mStarted = new LongAdder();
    final LongAdder mFinished = new LongAdder();
    final LongAdder mCancelled = new LongAdder();
    final LongAdder mFailed = new LongAdder();
    final LongAdder mCut = new LongAdder();
    final LongAdder mPromptTokensComputed = new LongAdder();
    final LongAdder mPromptTokensCached = new LongAdder();
    final LongAdder mTokensGenerated = new LongAdder();

    private final Deque<CompletionRequest> mStartedRequests = new ArrayDeque<>();

    /** Records that a request was granted a slot; called in the order of the grants. */
    void recordStart(CompletionRequest request) {
        mStarted.increment();
        synchronized (mStartedRequests) {
            mStartedRequests.add(request);
            if (mStartedRequests.size() > MAX_STARTED_REQUESTS) {
                mStartedRequests.remove();
            }
        }
    }

    ObjectNode toJson() {
        ObjectNode node = Json.object();
        node.put("received", mReceived.sum());
        node.put("started", mStarted.sum());
        node.put("finished", mFinished.sum());
        node.put("cancelled", mCancelled.sum());
        node.put("failed", mFailed.sum());
        node.put("cut", mCut.sum());
        node.put("promptTokensComputed", mPromptTokensComputed.sum());
        node.put("promptTokensCached", mPromptTokensCached.sum());
        node.put("tokensGenerated", mTokensGenerated.sum());
        ArrayNode order = node.putArray("order");
        synchronized (mStartedRequests) {
            for (CompletionRequest request : mStartedRequests) {
                order.addObject()
                        .put("requestId", request.requestId())
                        .put("cacheOwner", request.cacheOwner())
                        .put("priority", request.priority())
                        .put("model", request.model())
                        .put("promptTokens", request.prompt().tokenCount());
            }
        }
        return node;
    }
}
