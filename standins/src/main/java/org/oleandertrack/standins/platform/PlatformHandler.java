package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.oleandertrack.standins.http.BadRequestException;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;
import org.oleandertrack.standins.http.RequestHandler;

/**
 * Answers the published calls of the platform's store, rows and objects, and the control requests
 * of tests. Thread-safe.
 */
public final class PlatformHandler implements RequestHandler {

    private final RowTables mTables = new RowTables();
    private final HostTable mHosts =
            new HostTable(mTables, new HostRegistry(System::nanoTime, Json.array()));
    private final PlatformFaults mFaults = new PlatformFaults();
    private final FaultGate mGate = new FaultGate(mFaults, new PlatformStats());
    private final RowCalls mRowCalls = new RowCalls(mTables, mHosts, mGate);
    private final ObjectCalls mObjectCalls = new ObjectCalls(mGate);

    /** Returns the rows, which whoever holds this handler may change past all faults. */
    public RowTables tables() {
        return mTables;
    }

    /** Replaces all faults, as the control request does. */
    public void setFaults(JsonNode faults) throws BadRequestException {
        mFaults.replace(faults);
    }

    @Override
    public void handle(Request request) throws IOException {
        switch (request.route()) {
            case "GET /rows-get" -> mRowCalls.get(request);
            case "GET /rows-parts" -> mRowCalls.parts(request);
            case "GET /rows-feed" -> mRowCalls.feed(request);
            case "POST /rows-tx" -> mRowCalls.transact(request);
            case "GET /blob-list" -> mObjectCalls.list(request);
            case "POST /control/faults" -> {
                mFaults.replace(request.json());
                request.sendJson(200, Json.object());
            }
            case "POST /control/forget" -> {
                mTables.forgetHistory();
                request.sendJson(200, Json.object());
            }
            case "POST /control/hosts" -> replaceHosts(request);
            case "GET /control/stats" -> request.sendJson(200, mGate.toJson());
            default -> handleObject(request);
        }
    }

    private void handleObject(Request request) throws IOException {
        String path = request.path();
        int slash = path.indexOf('/', 1);
        String key = slash < 0 ? "" : path.substring(slash + 1);
        switch (request.method() + " " + path.substring(0, slash < 0 ? path.length() : slash)) {
            case "PUT /blob-put" -> mObjectCalls.put(request, key);
            case "GET /blob-get" -> mObjectCalls.get(request, key);
            case "DELETE /blob-drop" -> mObjectCalls.drop(request, key);
            default -> request.sendError(404, "no such resource: " + request.route());
        }
    }

    private void replaceHosts(Request request) throws IOException {
        JsonNode body = request.json();
        if (!body.path("hosts").isArray()) {
            throw new BadRequestException("\"hosts\" is not an array");
        }
        mHosts.replace(body.path("hosts"), body.path("lagMillis").asLong(0));
        request.sendJson(200, Json.object());
    }
}
