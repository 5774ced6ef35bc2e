package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.oleandertrack.standins.http.BadRequestException;
import org.oleandertrack.standins.http.ConnectionAbortException;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;
import org.oleandertrack.standins.http.RequestHandler;

/**
 * Answers the requests of the table service, the object store and the host list, and the control
 * requests of tests. Thread-safe.
 */
public final class PlatformHandler implements RequestHandler {

    /** An answer that is sent unless the fault says that it is lost. */
    @FunctionalInterface
    private interface Reply {
        void send() throws IOException;
    }

    /** Executes a request and returns its answer. */
    @FunctionalInterface
    private interface Execution {
        Reply run();
    }

    private static final int DEFAULT_SCAN_ROWS = 1_000;
    private static final String OCTETS = "application/octet-stream";

    private final Table mTable = new Table();
    private final Map<String, byte[]> mObjects = new ConcurrentHashMap<>();
    private final HostRegistry mHosts = new HostRegistry(System::nanoTime, Json.array());
    private final PlatformFaults mFaults = new PlatformFaults();
    private final PlatformStats mStats = new PlatformStats();

    @Override
    public void handle(Request request) throws IOException {
        switch (request.route()) {
            case "GET /table/row" -> getRow(request);
            case "GET /table/scan" -> scan(request);
            case "POST /table/write" -> write(request);
            case "PUT /objects" -> putObject(request);
            case "GET /objects" -> getObject(request);
            case "DELETE /objects" -> deleteObject(request);
            case "GET /hosts" -> hosts(request);
            case "POST /control/faults" -> {
                mFaults.replace(request.json());
                request.sendJson(200, Json.object());
            }
            case "POST /control/hosts" -> replaceHosts(request);
            case "GET /control/stats" ->
                    request.sendJson(200, mStats.toJson().put("held", mFaults.held()));
            default -> request.sendError(404, "no such resource: " + request.route());
        }
    }

    // Table service

    private void getRow(Request request) throws IOException {
        String key = request.requiredQuery("key");
        read(
                request,
                "table",
                key,
                () -> {
                    mStats.mRowReads.increment();
                    Optional<Table.Row> row = mTable.get(key);
                    return row.isPresent()
                            ? () -> request.sendJson(200, toJson(row.get()))
                            : () -> request.sendError(404, "no such row");
                });
    }

    private void scan(Request request) throws IOException {
        String prefix = request.query("prefix").orElse("");
        String after = request.query("after").orElse("");
        int limit = (int) Math.min(request.queryNumber("limit", DEFAULT_SCAN_ROWS), 1_000_000);
        read(
                request,
                "table",
                prefix,
                () -> {
                    mStats.mScans.increment();
                    ObjectNode answer = Json.object();
                    ArrayNode rows = answer.putArray("rows");
                    mTable.scan(prefix, after, limit).forEach(row -> rows.add(toJson(row)));
                    return () -> request.sendJson(200, answer);
                });
    }

    private void write(Request request) throws IOException {
        List<Table.Write> writes = parseWrites(request.json());
        List<String> keys = writes.stream().map(Table.Write::key).toList();
        execute(
                request,
                "table",
                keys,
                true,
                () -> {
                    mStats.mWriteRequests.increment();
                    ObjectNode answer = Json.object();
                    ArrayNode outcomes = answer.putArray("outcomes");
                    mTable.write(writes).forEach(outcome -> outcomes.add(count(outcome)));
                    return () -> request.sendJson(200, answer);
                });
    }

    private JsonNode count(Table.Outcome outcome) {
        (outcome.applied() ? mStats.mRowsWritten : mStats.mConflicts).increment();
        return Json.object()
                .put("applied", outcome.applied())
                .put(outcome.applied() ? "version" : "currentVersion", outcome.version());
    }

    private static List<Table.Write> parseWrites(JsonNode body) throws IOException {
        JsonNode writes = body.path("writes");
        if (!writes.isArray()) {
            throw new BadRequestException("\"writes\" is not an array");
        }
        List<Table.Write> result = new ArrayList<>(writes.size());
        for (JsonNode write : writes) {
            JsonNode value = write.path("value");
            if (!write.path("key").isTextual()
                    || !write.path("expectedVersion").isIntegralNumber()
                    || !(value.isTextual() || value.isNull())) {
                throw new BadRequestException(
                        "a write needs a key, an expectedVersion and a value that is a string or"
                                + " null");
            }
            result.add(
                    new Table.Write(
                            write.path("key").asText(),
                            write.path("expectedVersion").asLong(),
                            value.isNull() ? Optional.empty() : Optional.of(value.asText())));
        }
        return result;
    }

    private static JsonNode toJson(Table.Row row) {
        return Json.object()
                .put("key", row.key())
                .put("version", row.version())
                .put("value", row.value());
    }

    // Object store

    private void putObject(Request request) throws IOException {
        String key = request.requiredQuery("key");
        execute(
                request,
                "objects",
                List.of(key),
                true,
                () -> {
                    mStats.mObjectsPut.increment();
                    mStats.mObjectBytesPut.add(request.body().length);
                    mObjects.put(key, request.body());
                    return () -> request.sendJson(200, Json.object());
                });
    }

    private void getObject(Request request) throws IOException {
        String key = request.requiredQuery("key");
        read(
                request,
                "objects",
                key,
                () -> {
                    mStats.mObjectsRead.increment();
                    byte[] bytes = mObjects.get(key);
                    return bytes == null
                            ? () -> request.sendError(404, "no such object")
                            : () -> request.send(200, OCTETS, bytes);
                });
    }

    private void deleteObject(Request request) throws IOException {
        String key = request.requiredQuery("key");
        execute(
                request,
                "objects",
                List.of(key),
                true,
                () -> {
                    mStats.mObjectsDeleted.increment();
                    mObjects.remove(key);
                    return () -> request.sendJson(200, Json.object());
                });
    }

    // Host list

    private void hosts(Request request) throws IOException {
        read(
                request,
                "hosts",
                "",
                () -> {
                    mStats.mHostReads.increment();
                    ObjectNode answer = Json.object();
                    answer.set("hosts", mHosts.visible());
                    return () -> request.sendJson(200, answer);
                });
    }

    private void replaceHosts(Request request) throws IOException {
        JsonNode body = request.json();
        if (!body.path("hosts").isArray()) {
            throw new BadRequestException("\"hosts\" is not an array");
        }
        mHosts.replace(body.path("hosts"), body.path("lagMillis").asLong(0));
        request.sendJson(200, Json.object());
    }

    // Helpers

    private void read(Request request, String service, String key, Execution execution)
            throws IOException {
        execute(request, service, List.of(key), false, execution);
    }

    private void execute(
            Request request, String service, List<String> keys, boolean write, Execution execution)
            throws IOException {
        PlatformFaults.Verdict verdict;
        try {
            verdict = mFaults.beforeExecution(service, keys, write);
        } catch (ConnectionAbortException e) {
            mStats.mRequestsFailed.increment();
            throw e;
        }
        if (verdict == PlatformFaults.Verdict.REFUSE) {
            mStats.mRequestsFailed.increment();
            request.sendError(503, "the simulated service refuses the request");
            return;
        }
        Reply reply = execution.run();
        if (verdict == PlatformFaults.Verdict.EXECUTE_AND_LOSE_REPLY) {
            mStats.mRepliesLost.increment();
            throw new ConnectionAbortException("the answer is lost on purpose");
        }
        reply.send();
    }
}
