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

/** Answers the calls of the store that concern rows. Thread-safe. */
final class RowCalls {

    private static final String SERVICE = "table";
    private static final String HOSTS = "hosts";
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_PAGE_ROWS = 500;
    private static final int MAX_PARTS = 1_000;
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final RowTables mTables;
    private final HostTable mHosts;
    private final FaultGate mGate;

    RowCalls(RowTables tables, HostTable hosts, FaultGate gate) {
        mTables = tables;
        mHosts = hosts;
        mGate = gate;
    }

    // Operations

    void get(Request request) throws IOException {
        String table = request.requiredQuery("table");
        String part = request.query("part").orElse("");
        String from = request.query("from").orElse("");
        Optional<String> to = request.query("to");
        int limit = Math.clamp(request.queryNumber("limit", MAX_PAGE_ROWS), 1, MAX_PAGE_ROWS);
        mGate.read(
                request,
                serviceOf(table),
                from,
                () -> {
                    countRead(table, limit);
                    RowTables.Page page = mTables.page(table, part, from, to, limit);
                    ObjectNode answer = answer(page.version());
                    answer.set("rows", toJson(page.rows()));
                    answer.put("has_more", page.hasMore());
                    return () -> request.sendJson(200, answer);
                });
    }

    void parts(Request request) throws IOException {
        String table = request.requiredQuery("table");
        Optional<String> after = request.query("after");
        mGate.read(
                request,
                serviceOf(table),
                "",
                () -> {
                    mGate.stats().mScans.increment();
                    ArrayNode parts = Json.array();
                    mTables.parts(table, after, MAX_PARTS).forEach(parts::add);
                    ObjectNode answer = Json.object();
                    answer.set("parts", parts);
                    return () -> request.sendJson(200, answer);
                });
    }

    void feed(Request request) throws IOException {
        String table = request.requiredQuery("table");
        long after = request.queryNumber("after", 0);
        long waitMillis = Math.clamp(request.queryNumber("wait_ms", 0), 0, MAX_WAIT_MILLIS);
        mGate.read(request, serviceOf(table), "", () -> feed(request, table, after, waitMillis));
    }

    void transact(Request request) throws IOException {
        RowTables.Transaction transaction = parse(request.json());
        List<String> keys = transaction.writes().stream().map(write -> write.id().key()).toList();
        mGate.write(
                request,
                SERVICE,
                keys,
                () -> {
                    RowTables.Outcome outcome = mTables.apply(transaction);
                    countWrite(transaction, outcome);
                    ObjectNode answer = answer(outcome.version());
                    if (!outcome.applied()) {
                        answer.set("rows", toJson(outcome.current()));
                    }
                    return () -> request.sendJson(outcome.applied() ? 200 : 412, answer);
                });
    }

    // Helpers

    private FaultGate.Reply feed(Request request, String table, long after, long waitMillis) {
        mGate.stats().mScans.increment();
        Optional<RowTables.Changes> changes = awaitChanges(table, after, waitMillis);
        if (changes.isEmpty()) {
            return () -> request.sendError(410, "the history since that version is gone");
        }
        ObjectNode answer = answer(changes.get().version());
        answer.set("rows", toJson(changes.get().rows()));
        return () -> request.sendJson(200, answer);
    }

    private Optional<RowTables.Changes> awaitChanges(String table, long after, long waitMillis) {
        try {
            return mTables.awaitChanges(table, after, waitMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private String serviceOf(String table) {
        if (!table.equals(HOSTS)) {
            return SERVICE;
        }
        mHosts.update();
        return HOSTS;
    }

    private void countRead(String table, int limit) {
        if (table.equals(HOSTS)) {
            mGate.stats().mHostReads.increment();
        } else if (limit == 1) {
            mGate.stats().mRowReads.increment();
        } else {
            mGate.stats().mScans.increment();
        }
    }

    private void countWrite(RowTables.Transaction transaction, RowTables.Outcome outcome) {
        mGate.stats().mWriteRequests.increment();
        if (outcome.applied()) {
            mGate.stats()
                    .mRowsWritten
                    .add(transaction.writes().size() + transaction.removals().size());
        } else {
            mGate.stats().mConflicts.increment();
        }
    }

    private static RowTables.Transaction parse(JsonNode body) throws BadRequestException {
        List<RowTables.Condition> conditions = new ArrayList<>();
        for (JsonNode entry : body.path("expect")) {
            conditions.add(
                    new RowTables.Condition(id(entry), entry.path("version_number").asLong()));
        }
        List<RowTables.Write> writes = new ArrayList<>();
        for (JsonNode entry : body.path("writes")) {
            writes.add(new RowTables.Write(id(entry), entry.path("value").asText()));
        }
        List<RowTables.Id> removals = new ArrayList<>();
        for (JsonNode entry : body.path("remove")) {
            removals.add(id(entry));
        }
        if (conditions.size() + writes.size() + removals.size() > 3 * MAX_ENTRIES
                || writes.size() + removals.size() > MAX_ENTRIES) {
            throw new BadRequestException("a transaction has at most 100 entries");
        }
        return new RowTables.Transaction(conditions, writes, removals);
    }

    private static RowTables.Id id(JsonNode entry) throws BadRequestException {
        if (!entry.path("table").isTextual() || !entry.path("key").isTextual()) {
            throw new BadRequestException("an entry needs a table and a key");
        }
        return new RowTables.Id(
                entry.path("table").asText(),
                entry.path("part").asText(),
                entry.path("key").asText());
    }

    private static ObjectNode answer(long version) {
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
