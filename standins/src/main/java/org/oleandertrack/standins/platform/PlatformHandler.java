package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.oleandertrack.standins.http.BadRequestException;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;
import org.oleandertrack.standins.http.RequestHandler;

/**
 * Handles the requests of the platform's published store API, for rows and objects, and the control
 * requests of tests. Thread-safe.
 */
public final class PlatformHandler implements RequestHandler {

    private final RowTables mTables = new RowTables();
    private final HostTable mHosts =
            new HostTable(mTables, new HostRegistry(System::nanoTime, Json.array()));
    private final PlatformFaults mFaults = new PlatformFaults();
    private final FaultInjector mFaultInjector = new FaultInjector(mFaults, new PlatformStats());
    private final RowRequestHandler mRowRequests =
            new RowRequestHandler(mTables, mHosts, mFaultInjector);
    private final ObjectRequestHandler mObjectRequests = new ObjectRequestHandler(mFaultInjector);

    /** Returns the tables. Access through them is not subject to the simulated faults. */
    public RowTables tables() {
        return mTables;
    }

    /** Replaces all simulated faults, as {@code POST /control/faults} does. */
    public void setFaults(JsonNode faults) throws BadRequestException {
        mFaults.replace(faults);
    }

    @Override
    public void handle(Request request) throws IOException {
        switch (request.route()) {
            case "GET /rows-get" -> mRowRequests.readPage(request);
            case "GET /rows-parts" -> mRowRequests.listParts(request);
            case "GET /rows-feed" -> mRowRequests.readChanges(request);
            case "POST /rows-tx" -> mRowRequests.applyTransaction(request);
            case "GET /blob-list" -> mObjectRequests.list(request);
            case "POST /control/faults" -> {
                mFaults.replace(request.json());
                request.sendJson(200, Json.object());
            }
            case "POST /control/forget" -> {
                mTables.clearHistory();
                request.sendJson(200, Json.object());
            }
            case "POST /control/hosts" -> replaceHosts(request);
            case "GET /control/stats" -> request.sendJson(200, mFaultInjector.toJson());
            default -> handleObject(request);
        }
    }

    private void handleObject(Request request) throws IOException {
        String path = request.path();
        int slash = path.indexOf('/', 1);
        String key = slash < 0 ? "" : path.substring(slash + 1);
        switch (request.method() + " " + path.substring(0, slash < 0 ? path.length() : slash)) {
            case "PUT /blob-put" -> mObjectRequests.put(request, key);
            case "GET /blob-get" -> mObjectRequests.get(request, key);
            case "DELETE /blob-drop" -> mObjectRequests.delete(request, key);
            default -> request.sendError(404, "no such resource: " + request.route());
        }
    }

    private void replaceHosts(Request request) throws IOException {
        JsonNode body = request.json();
        if (!body.path("hosts").isArray()) {
            throw new BadRequestException("\"hosts\" is not an array");
        }
        mHosts.replaceHosts(body.path("hosts"), body.path("lagMillis").asLong(0));
        request.sendJson(200, Json.object());
    }
}
