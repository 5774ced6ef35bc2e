package org.oleandertrack.standins.service;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.oleandertrack.standins.http.Json;

/** Counts executions by idempotency key, method and path. Thread-safe. */
final class ExecutionCounter {

    private record Call(String idempotencyKey, String method, String path) {}

    private final Map<Call, Integer> mCounts = new LinkedHashMap<>();
    private long mTotal;

    /** Counts an execution and returns how often the same call has been executed, including it. */
    synchronized int countExecution(String idempotencyKey, String method, String path) {
        mTotal++;
        return mCounts.merge(new Call(idempotencyKey, method, path), 1, Integer::sum);
    }

    /** Returns the counts as JSON, with the calls in the order of their first execution. */
    synchronized ObjectNode toJson() {
        ObjectNode node = Json.object();
        node.put("total", mTotal);
        ArrayNode list = node.putArray("executions");
        mCounts.forEach(
                (call, count) ->
                        list.addObject()
                                .put("idempotencyKey", call.idempotencyKey())
                                .put("method", call.method())
                                .put("path", call.path())
                                .put("count", count));
        return node;
    }
}
