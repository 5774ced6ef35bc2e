import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows, transactions and the feed, as PROTOCOL describes them. */
final class Store implements AutoCloseable {

    private record Row(String table, String part, String key, String value, long version) {}

    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private final List<Row> mHistory = new ArrayList<>();
    private final Http.Server mServer;
    private long mVersion = 100;

    Store() throws IOException {
        mServer = new Http.Server("127.0.0.1", 0, this::handle);
    }

    int port() {
        return mServer.port();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    /** Writes a row of the operator or of a server. */
    synchronized void put(String table, String key, Object value) {
        mVersion++;
        write(
                table,
                "",
                key,
                Base64.getEncoder()
                        .encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        mVersion++;
        drop(table, "", key);
        notifyAll();
    }

    synchronized int count(String table) {
        return (int) mRows.values().stream().filter(row -> row.table().equals(table)).count();
    }

    private void write(String table, String part, String key, String value) {
        Row row = new Row(table, part, key, value, mVersion);
        mRows.put(table + "\0" + part + "\0" + key, row);
        mHistory.add(row);
    }

    private void drop(String table, String part, String key) {
        if (mRows.remove(table + "\0" + part + "\0" + key) != null) {
            mHistory.add(new Row(table, part, key, null, mVersion));
        }
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        String target = request.target();
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        Map<String, String> parameters = new HashMap<>();
        if (query >= 0) {
            for (String pair : target.substring(query + 1).split("&")) {
                int equals = pair.indexOf('=');
                parameters.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        Thread.sleep(4);
        int[] status = {200};
        Object body =
                switch (path) {
                    case "/rows-tx" -> apply(Json.object(request.text()), status);
                    case "/rows-get" -> read(parameters);
                    case "/rows-feed" -> changes(parameters);
                    default -> {
                        status[0] = 404;
                        yield Json.map();
                    }
                };
        connection.write(
                Http.response(
                                status[0],
                                "Content-Type: application/json\r\n",
                                Json.write(body))
                        .getBytes(StandardCharsets.UTF_8));
    }

    @SuppressWarnings("unchecked")
    private synchronized Object apply(Map<String, Object> transaction, int[] status) {
        List<Object> current = new ArrayList<>();
        boolean rejected = false;
        for (Object entry : (List<Object>) transaction.getOrDefault("expect", List.of())) {
            Map<String, Object> id = (Map<String, Object>) entry;
            Row row = mRows.get(id.get("table") + "\0" + id.get("part") + "\0" + id.get("key"));
            long version = row == null ? 0 : row.version();
            rejected |= version != ((Number) id.get("version_number")).longValue();
            if (row != null) {
                current.add(toJson(row));
            }
        }
        if (rejected) {
            status[0] = 412;
            return Json.map("rows", current, "version_number", mVersion, "now_ms", nowMillis());
        }
        mVersion++;
        for (Object entry : (List<Object>) transaction.getOrDefault("writes", List.of())) {
            Map<String, Object> row = (Map<String, Object>) entry;
            write(
                    (String) row.get("table"),
                    (String) row.get("part"),
                    (String) row.get("key"),
                    (String) row.get("value"));
        }
        for (Object entry : (List<Object>) transaction.getOrDefault("remove", List.of())) {
            Map<String, Object> id = (Map<String, Object>) entry;
            drop((String) id.get("table"), (String) id.get("part"), (String) id.get("key"));
        }
        notifyAll();
        return Json.map("version_number", mVersion, "now_ms", nowMillis());
    }

    private synchronized Object read(Map<String, String> parameters) {
        String prefix = parameters.get("table") + "\0" + parameters.getOrDefault("part", "") + "\0";
        int limit = Integer.parseInt(parameters.getOrDefault("limit", "500"));
        List<Object> rows = new ArrayList<>();
        boolean more = false;
        for (Row row : mRows.tailMap(prefix + parameters.getOrDefault("from", "")).values()) {
            if (!(row.table() + "\0" + row.part() + "\0").equals(prefix)) {
                break;
            }
            if (rows.size() == limit) {
                more = true;
                break;
            }
            rows.add(toJson(row));
        }
        return Json.map(
                "rows", rows, "has_more", more, "version_number", mVersion, "now_ms", nowMillis());
    }

    private synchronized Object changes(Map<String, String> parameters)
            throws InterruptedException {
        String table = parameters.get("table");
        long after = Long.parseLong(parameters.get("after"));
        long end = nowMillis() + Long.parseLong(parameters.getOrDefault("wait_ms", "0"));
        while (true) {
            List<Object> rows = new ArrayList<>();
            for (Row row : mHistory) {
                if (row.table().equals(table) && row.version() > after) {
                    rows.add(toJson(row));
                }
            }
            long left = end - nowMillis();
            if (!rows.isEmpty() || left <= 0) {
                return Json.map("rows", rows, "version_number", mVersion, "now_ms", nowMillis());
            }
            wait(left);
        }
    }

    private static Map<String, Object> toJson(Row row) {
        Map<String, Object> json =
                Json.map("table", row.table(), "part", row.part(), "key", row.key());
        if (row.value() == null) {
            json.put("tombstone", true);
        } else {
            json.put("value", row.value());
        }
        json.put("version_number", row.version());
        return json;
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }
}
