package org.oleandertrack.platform.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.coordination.store.ConditionalWrite;
import org.oleandertrack.coordination.store.Row;
import org.oleandertrack.coordination.store.StoreException;
import org.oleandertrack.coordination.store.TableStore;
import org.oleandertrack.coordination.store.WriteOutcome;
import org.oleandertrack.core.result.Execution;

/** The table service over HTTP, as {@code docs/platform-api.md} describes it. Thread safe. */
public final class HttpTableStore implements TableStore {

    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;

    private final PlatformHttpContext mContext;
    private final URI mBase;

    /** Creates a client of the service at a base address such as {@code http://10.0.0.1:80}. */
    public HttpTableStore(PlatformHttpContext context, URI base) {
        mContext = context;
        mBase = base;
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String key) {
        URI uri = PlatformHttpContext.withQuery(mBase, "/table/row", "key", key);
        return mContext.send("GET", uri)
                .thenApply(
                        response ->
                                response.statusCode() == STATUS_NOT_FOUND
                                        ? Optional.empty()
                                        : Optional.of(row(parseOk(uri, response))));
    }

    @Override
    public CompletableFuture<List<Row>> scan(String prefix, String afterKey, int limit) {
        URI uri =
                PlatformHttpContext.withQuery(
                        mBase,
                        "/table/scan",
                        "prefix",
                        prefix,
                        "after",
                        afterKey,
                        "limit",
                        Integer.toString(limit));
        return mContext.send("GET", uri).thenApply(response -> rows(parseOk(uri, response)));
    }

    @Override
    public CompletableFuture<List<WriteOutcome>> write(List<ConditionalWrite> writes) {
        URI uri = URI.create(mBase + "/table/write");
        byte[] body = encode(writes).toString().getBytes(StandardCharsets.UTF_8);
        return mContext.send("POST", uri, HttpRequest.BodyPublishers.ofByteArray(body))
                .thenApply(response -> outcomes(parseOk(uri, response)));
    }

    private ObjectNode encode(List<ConditionalWrite> writes) {
        ObjectNode root = mContext.mapper().createObjectNode();
        ArrayNode array = root.putArray("writes");
        for (ConditionalWrite write : writes) {
            ObjectNode node = array.addObject();
            node.put("key", write.key());
            node.put("expectedVersion", write.expectedVersion());
            node.put("value", write.value().orElse(null));
        }
        return root;
    }

    private JsonNode parseOk(URI uri, HttpResponse<byte[]> response) {
        if (response.statusCode() != STATUS_OK) {
            throw new StoreException(
                    Execution.NOT_RUN, uri + " answered " + response.statusCode(), null);
        }
        return mContext.parse(uri, response.body());
    }

    private static List<Row> rows(JsonNode root) {
        List<Row> rows = new ArrayList<>();
        root.path("rows").forEach(node -> rows.add(row(node)));
        return rows;
    }

    private static Row row(JsonNode node) {
        return new Row(
                node.path("key").asText(),
                node.path("version").asLong(),
                node.path("value").asText());
    }

    private static List<WriteOutcome> outcomes(JsonNode root) {
        List<WriteOutcome> outcomes = new ArrayList<>();
        for (JsonNode node : root.path("outcomes")) {
            outcomes.add(
                    node.path("applied").asBoolean()
                            ? new WriteOutcome.Applied(node.path("version").asLong())
                            : new WriteOutcome.Conflict(node.path("currentVersion").asLong()));
        }
        return outcomes;
    }
}
