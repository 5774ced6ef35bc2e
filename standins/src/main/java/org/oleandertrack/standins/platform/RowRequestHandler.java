package org.oleandertrack.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oleandertrack.standins.http.BadRequestException;
import org.oleandertrack.standins.http.Json;
import org.oleandertrack.standins.http.Request;

/** Handles the requests of the platform's table service. Thread-safe. */
final class RowRequestHandler {

    private static final String SERVICE = "table";
    private static final String HOSTS_TABLE = "hosts";
    private static final int MAX_CHANGES_PER_TRANSACTION = 100;
    private static final int MAX_PAGE_ROWS = 500;
    private static final int MAX_PARTS = 1_000;
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final RowTables mTables;
    private final HostTable mHosts;
    private final FaultInjector mFaultInjector;

    RowRequestHandler(RowTables tables, HostTable hosts, FaultInjector faultInjector) {
        mTables = tables;
        mHosts = hosts;
        mFaultInjector = faultInjector;
    }

    // Operations

    void readPage(Request request) throws IOException {
        String table = request.requiredQueryParameter("table");
        String part = request.queryParameter("part").orElse("");
        String from = request.queryParameter("from").orElse("");
        Optional<String> to = request.queryParameter("to");
        int limit =
                Math.clamp(request.numericQueryParameter("limit", MAX_PAGE_ROWS), 1, MAX_PAGE_ROWS);
        mFaultInjector.executeRead(
                request,
                updateHostsAndGetService(table),
                from,
                () -> {
                    countRead(table, limit);
                    RowTables.Page page = mTables.readPage(table, part, from, to, limit);
                    ObjectNode response = versionedResponse(page.version());
                    response.set("rows", toJson(page.rows()));
                    response.put("has_more", page.hasMore());
                    return () -> request.sendJson(200, response);
                });
    }

    void listParts(Request request) throws IOException {
        String table = request.requiredQueryParameter("table");
        Optional<String> after = request.queryParameter("after");
        mFaultInjector.executeRead(
                request,
                updateHostsAndGetService(table),
                "",
                () -> {
                    mFaultInjector.stats().mScans.increment();
                    ArrayNode parts = Json.array();
                    mTables.listParts(table, after, MAX_PARTS).forEach(parts::add);
                    ObjectNode response = Json.object();
                    response.set("parts", parts);
                    return () -> request.sendJson(200, response);
                });
    }

    void readChanges(Request request) throws IOException {
        String table = request.requiredQueryParameter("table");
        long after = request.numericQueryParameter("after", 0);
        long waitMillis =
                Math.clamp(request.numericQueryParameter("wait_ms", 0), 0, MAX_WAIT_MILLIS);
        mFaultInjector.executeRead(
                request,
                updateHostsAndGetService(table),
                "",
                () -> readChanges(request, table, after, waitMillis));
    }

    void applyTransaction(Request request) throws IOException {
        RowTables.Transaction transaction = parseTransaction(request.json());
        List<String> keys = transaction.writes().stream().map(write -> write.id().key()).toList();
        mFaultInjector.executeWrite(
                request,
                SERVICE,
                keys,
                () -> {
                    RowTables.Outcome outcome = mTables.apply(transaction);
                    countWrite(transaction, outcome);
                    ObjectNode response = versionedResponse(outcome.version());
                    if (!outcome.applied()) {
                        response.set("rows", toJson(outcome.currentRows()));
                    }
                    return () -> request.sendJson(outcome.applied() ? 200 : 412, response);
                });
    }

    // Helpers

    private FaultInjector.Response readChanges(
            Request request, String table, long after, long waitMillis) {
        mFaultInjector.stats().mScans.increment();
        Optional<RowTables.Changes> changes = awaitChanges(table, after, waitMillis);
        if (changes.isEmpty()) {
            return () ->
                    request.sendError(
                            410,
                            "the change history after the requested version is no longer available");
        }
        ObjectNode response = versionedResponse(changes.get().version());
        response.set("rows", toJson(changes.get().rows()));
        return () -> request.sendJson(200, response);
    }

    private Optional<RowTables.Changes> awaitChanges(String table, long after, long waitMillis) {
        try {
            return mTables.awaitChanges(table, after, waitMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /**
     * Returns the name by which faults select the service of a table. Updates the table of hosts
     * before it is read.
     */
    private String updateHostsAndGetService(String table) {
        if (!table.equals(HOSTS_TABLE)) {
            return SERVICE;
        }
        mHosts.updateTable();
        return HOSTS_TABLE;
    }

    /** Counts a read; with a limit of 1 it counts as a read of one row, otherwise as a scan. */
    private void countRead(String table, int limit) {
        if (table.equals(HOSTS_TABLE)) {
            mFaultInjector.stats().mHostReads.increment();
        } else if (limit == 1) {
            mFaultInjector.stats().mRowReads.increment();
        } else {
            mFaultInjector.stats().mScans.increment();
        }
    }

    private void countWrite(RowTables.Transaction transaction, RowTables.Outcome outcome) {
        mFaultInjector.stats().mWriteRequests.increment();
        if (outcome.applied()) {
            mFaultInjector
                    .stats()
                    .mRowsWritten
                    .add(transaction.writes().size() + transaction.removals().size());
        } else {
            mFaultInjector.stats().mConflicts.increment();
        }
    }

    private static RowTables.Transaction parseTransaction(JsonNode body)
            throws BadRequestException {
        List<RowTables.Condition> conditions = new ArrayList<>();
        for (JsonNode entry : body.path("expect")) {
            conditions.add(
                    new RowTables.Condition(parseId(entry), entry.path("version_number").asLong()));
        }
        List<RowTables.Write> writes = new ArrayList<>();
        for (JsonNode entry : body.path("writes")) {
            writes.add(new RowTables.Write(parseId(entry), entry.path("value").asText()));
        }
        List<RowTables.Id> removals = new ArrayList<>();
        for (JsonNode entry : body.path("remove")) {
            removals.add(parseId(entry));
        }
        if (conditions.size() + writes.size() + removals.size() > 3 * MAX_CHANGES_PER_TRANSACTION
                || writes.size() + removals.size() > MAX_CHANGES_PER_TRANSACTION) {
            throw new BadRequestException(
                    "a transaction has at most 100 writes and removals, and 300 entries with its conditions");
        }
        return new RowTables.Transaction(conditions, writes, removals);
    }

    private static RowTables.Id parseId(JsonNode entry) throws BadRequestException {
        if (!entry.path("table").isTextual() || !entry.path("key").isTextual()) {
            throw new BadRequestException("an entry needs a table and a key");
        }
        return new RowTables.Id(
                entry.path("table").asText(),
                entry.path("part").asText(),
                entry.path("key").asText());
    }

    private static ObjectNode versionedResponse(long version) {
        return Json.object()
                .put("version_number", version)
                .put("now_ms", System.nanoTime() / 1_000_000);
    }

    private static ArrayNode toJson(List<RowTables.Row> rows) {
        ArrayNode array = Json.array();
        for (RowTables.Row row : rows) {
            ObjectNode node = array.addObject();
            node.put("table", row.id().table());
            node.put("part", row.id().part());
            node.put("key", row.id().key());
            node.put("version_number", row.version());
            if (row.value().isPresent()) {
                node.put("value", row.value().get());
            } else {
                node.put("tombstone", true);
            }
        }
        return array;
    }
}
