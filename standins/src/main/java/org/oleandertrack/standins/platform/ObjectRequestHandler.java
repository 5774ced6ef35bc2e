package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ConcurrentSkipListMap;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;

/** Handles the requests of the platform's object store. Thread-safe. */
final class ObjectRequestHandler {

    private static final String SERVICE = "objects";
    private static final String OCTET_STREAM = "application/octet-stream";
    private static final int MAX_LISTED_NAMES = 1_000;

    private final ConcurrentSkipListMap<String, byte[]> mObjects = new ConcurrentSkipListMap<>();
    private final FaultInjector mFaultInjector;

    ObjectRequestHandler(FaultInjector faultInjector) {
        mFaultInjector = faultInjector;
    }

    void put(Request request, String key) throws IOException {
        boolean onlyIfAbsent = request.header("If-None-Match").isPresent();
        mFaultInjector.executeWrite(
                request,
                SERVICE,
                List.of(key),
                () -> {
                    if (onlyIfAbsent && mObjects.containsKey(key)) {
                        return () -> request.sendError(412, "the object exists");
                    }
                    mFaultInjector.stats().mObjectsPut.increment();
                    mFaultInjector.stats().mObjectBytesPut.add(request.body().length);
                    mObjects.put(key, request.body());
                    return () -> request.sendJson(200, Json.object());
                });
    }

    void get(Request request, String key) throws IOException {
        mFaultInjector.executeRead(
                request,
                SERVICE,
                key,
                () -> {
                    mFaultInjector.stats().mObjectsRead.increment();
                    byte[] bytes = mObjects.get(key);
                    return bytes == null
                            ? () -> request.sendError(404, "no such object")
                            : () -> request.send(200, OCTET_STREAM, bytes);
                });
    }

    void delete(Request request, String key) throws IOException {
        mFaultInjector.executeWrite(
                request,
                SERVICE,
                List.of(key),
                () -> {
                    mFaultInjector.stats().mObjectsDeleted.increment();
                    mObjects.remove(key);
                    return () -> request.sendJson(200, Json.object());
                });
    }

    void list(Request request) throws IOException {
        String prefix = request.queryParameter("prefix").orElse("");
        String after = request.queryParameter("after").orElse("");
        mFaultInjector.executeRead(
                request,
                SERVICE,
                prefix,
                () -> {
                    mFaultInjector.stats().mScans.increment();
                    List<String> names =
                            mObjects.keySet().stream()
                                    .filter(key -> key.startsWith(prefix))
                                    .filter(key -> key.compareTo(after) > 0)
                                    .limit(MAX_LISTED_NAMES + 1)
                                    .toList();
                    ObjectNode response = Json.object();
                    ArrayNode array = response.putArray("names");
                    names.stream().limit(MAX_LISTED_NAMES).forEach(array::add);
                    response.put("has_more", names.size() > MAX_LISTED_NAMES);
                    return () -> request.sendJson(200, response);
                });
    }
}
