package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ConcurrentSkipListMap;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;

/** Answers the calls of the store that concern objects. Thread-safe. */
final class ObjectCalls {

    private static final String SERVICE = "objects";
    private static final String OCTETS = "application/octet-stream";
    private static final int MAX_NAMES = 1_000;

    private final ConcurrentSkipListMap<String, byte[]> mObjects = new ConcurrentSkipListMap<>();
    private final FaultGate mGate;

    ObjectCalls(FaultGate gate) {
        mGate = gate;
    }

    void put(Request request, String key) throws IOException {
        boolean onlyNew = request.header("If-None-Match").isPresent();
        mGate.write(
                request,
                SERVICE,
                List.of(key),
                () -> {
                    if (onlyNew && mObjects.containsKey(key)) {
                        return () -> request.sendError(412, "the object exists");
                    }
                    mGate.stats().mObjectsPut.increment();
                    mGate.stats().mObjectBytesPut.add(request.body().length);
                    mObjects.put(key, request.body());
                    return () -> request.sendJson(200, Json.object());
                });
    }

    void get(Request request, String key) throws IOException {
        mGate.read(
                request,
                SERVICE,
                key,
                () -> {
                    mGate.stats().mObjectsRead.increment();
                    byte[] bytes = mObjects.get(key);
                    return bytes == null
                            ? () -> request.sendError(404, "no such object")
                            : () -> request.send(200, OCTETS, bytes);
                });
    }

    void drop(Request request, String key) throws IOException {
        mGate.write(
                request,
                SERVICE,
                List.of(key),
                () -> {
                    mGate.stats().mObjectsDeleted.increment();
                    mObjects.remove(key);
                    return () -> request.sendJson(200, Json.object());
                });
    }

    void list(Request request) throws IOException {
        String prefix = request.query("prefix").orElse("");
        String after = request.query("after").orElse("");
        mGate.read(
                request,
                SERVICE,
                prefix,
                () -> {
                    mGate.stats().mScans.increment();
                    List<String> names =
                            mObjects.keySet().stream()
                                    .filter(key -> key.startsWith(prefix))
                                    .filter(key -> key.compareTo(after) > 0)
                                    .limit(MAX_NAMES + 1)
                                    .toList();
                    ObjectNode answer = Json.object();
                    ArrayNode array = answer.putArray("names");
                    names.stream().limit(MAX_NAMES).forEach(array::add);
                    answer.put("has_more", names.size() > MAX_NAMES);
                    return () -> request.sendJson(200, answer);
                });
    }
}
