import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: rows only, linearizable, 4 ms an answer. */
final class Store implements Closeable {

    /** Decides what becomes of a call to a table. */
    interface Fault {
        /** Returns whether calls to the table get no answer now. */
        boolean isSilent(String table);
    }

    private record Row(
            String table, String part, String key, String value, long version, boolean removed) {

        Map<String, Object> json() {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("table", table);
            map.put("part", part);
            map.put("key", key);
            if (removed) {
                map.put("tombstone", true);
            } else {
                map.put("value", value);
            }
            map.put("version_number", version);
            return map;
        }
    }

    private static final long ANSWER_MILLIS = 4;
    // Limits that the pages state. Bytes of rows are counted as decoded, the most generous reading.
    private static final int MAX_CALL_ENTRIES = 100;
    private static final int MAX_CALL_BYTES = 1024 * 1024;
    private static final int MAX_ROW_BYTES = 65_536;
    private static final int MAX_KEY_BYTES = 200;
    private static final int MAX_PAGE_ROWS = 500;
    private static final int MAX_PAGE_BYTES = 1024 * 1024;

    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private final long mStartNanos = System.nanoTime();
    private final Http.Server mServer;
    volatile Fault mFault = table -> false;
    final java.util.concurrent.atomic.AtomicInteger mRefusedCalls =
            new java.util.concurrent.atomic.AtomicInteger();
    private long mVersion;

    Store(String ip) throws IOException {
        mServer = new Http.Server(ip, 0, this::handle);
    }

    int port() {
        return mServer.port();
    }

    /** Writes a row as the operator or a server does. */
    synchronized long put(String table, String key, String value) {
        mVersion++;
        String base64 =
                Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        mRows.put(
                table + "\0" + "\0" + key, new Row(table, "", key, base64, mVersion, false));
        notifyAll();
        return mVersion;
    }

    /** Returns the decoded values of a table, by key. */
    synchronized Map<String, String> values(String table) {
        Map<String, String> values = new LinkedHashMap<>();
        for (Row row : mRows.values()) {
            if (row.table().equals(table) && !row.removed()) {
                values.put(
                        row.key(),
                        new String(
                                Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    synchronized void remove(String table, String key) {
        mVersion++;
        mRows.put(table + "\0" + "\0" + key, new Row(table, "", key, "", mVersion, true));
        notifyAll();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private void handle(Http.Message head, InputStream in, OutputStream out, Socket socket)
            throws Exception {
        byte[] body = Http.readBody(head, in);
        String path = head.uri().split("\\?", 2)[0];
        Map<String, String> query = query(head.uri());
        Thread.sleep(ANSWER_MILLIS);
        if (path.equals("/rows-tx")) {
            Map<String, Object> call =
                    Json.object(Json.parse(new String(body, StandardCharsets.UTF_8)));
            for (String field : List.of("expect", "writes", "remove")) {
                for (Object entry : Json.list(call.get(field))) {
                    awaitAnswer(text(Json.object(entry), "table"), socket);
                }
            }
            if (!isWithinLimits(call)) {
                mRefusedCalls.incrementAndGet();
                Http.respond(out, 400, JSON, bytes(Map.of("error", "over a limit")));
                return;
            }
            transact(call, out);
            return;
        }
        String table = query.getOrDefault("table", "");
        awaitAnswer(table, socket);
        switch (path) {
            case "/rows-get" -> read(table, query, out);
            case "/rows-feed" -> feed(table, query, out, socket);
            default -> Http.respond(out, 404, Map.of(), new byte[0]);
        }
    }

    /** A call to a silent table gets no answer on its connection, also later. */
    private void awaitAnswer(String table, Socket socket) throws Exception {
        if (mFault.isSilent(table)) {
            socket.setSoTimeout(60_000);
            socket.getInputStream().read();
            socket.close();
            throw new IOException("no answer");
        }
    }

    private static boolean isWithinLimits(Map<String, Object> call) {
        int entries = 0;
        long total = 0;
        for (String field : List.of("expect", "writes", "remove")) {
            for (Object item : Json.list(call.get(field))) {
                Map<String, Object> entry = Json.object(item);
                int value = decodedBytes(text(entry, "value"));
                entries++;
                total += value;
                if (value > MAX_ROW_BYTES
                        || text(entry, "key").getBytes(StandardCharsets.UTF_8).length
                                > MAX_KEY_BYTES) {
                    return false;
                }
            }
        }
        return entries <= MAX_CALL_ENTRIES && total <= MAX_CALL_BYTES;
    }

    private static int decodedBytes(String base64) {
        return base64.length() / 4 * 3;
    }

    private void transact(Map<String, Object> call, OutputStream out) throws Exception {
        Map<String, Object> answer;
        int status = 200;
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            boolean holds = true;
            for (Object item : Json.list(call.get("expect"))) {
                Map<String, Object> entry = Json.object(item);
                Row row = mRows.get(id(entry));
                long version = row == null || row.removed() ? 0 : row.version();
                holds &= version == ((Number) entry.get("version_number")).longValue();
                if (version > 0) {
                    current.add(row.json());
                }
            }
            if (holds) {
                mVersion++;
                for (Object item : Json.list(call.get("writes"))) {
                    Map<String, Object> entry = Json.object(item);
                    mRows.put(id(entry), row(entry, text(entry, "value"), false));
                }
                for (Object item : Json.list(call.get("remove"))) {
                    Map<String, Object> entry = Json.object(item);
                    mRows.put(id(entry), row(entry, "", true));
                }
                notifyAll();
            } else {
                status = 412;
            }
            answer = answer(holds ? null : current);
        }
        Http.respond(out, status, JSON, bytes(answer));
    }

    private void read(String table, Map<String, String> query, OutputStream out)
            throws Exception {
        Map<String, Object> answer;
        synchronized (this) {
            List<Object> rows = new ArrayList<>();
            int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
            boolean more = false;
            long pageBytes = 0;
            for (Row row : mRows.values()) {
                if (row.removed()
                        || !row.table().equals(table)
                        || !row.part().equals(query.getOrDefault("part", ""))
                        || row.key().compareTo(query.getOrDefault("from", "")) < 0
                        || (query.containsKey("to")
                                && row.key().compareTo(query.get("to")) >= 0)) {
                    continue;
                }
                pageBytes += decodedBytes(row.value());
                if (rows.size() >= Math.min(MAX_PAGE_ROWS, limit)
                        || (pageBytes > MAX_PAGE_BYTES && !rows.isEmpty())) {
                    more = true;
                    break;
                }
                rows.add(row.json());
            }
            answer = answer(rows);
            answer.put("has_more", more);
        }
        Http.respond(out, 200, JSON, bytes(answer));
    }

    private void feed(String table, Map<String, String> query, OutputStream out, Socket socket)
            throws Exception {
        long after = Long.parseLong(query.get("after"));
        long endNanos =
                System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000L;
        Map<String, Object> answer;
        synchronized (this) {
            List<Object> rows = changes(table, after);
            while (rows.isEmpty()) {
                long leftMillis = (endNanos - System.nanoTime()) / 1_000_000L;
                if (leftMillis <= 0) {
                    break;
                }
                wait(leftMillis);
                rows = changes(table, after);
            }
            answer = answer(rows);
        }
        awaitAnswer(table, socket);
        Http.respond(out, 200, JSON, bytes(answer));
    }

    private List<Object> changes(String table, long after) {
        return mRows.values().stream()
                .filter(row -> row.table().equals(table) && row.version() > after)
                .sorted(Comparator.comparingLong(Row::version))
                .<Object>map(Row::json)
                .collect(java.util.stream.Collectors.toCollection(ArrayList::new));
    }

    private Map<String, Object> answer(List<Object> rows) {
        Map<String, Object> answer = new LinkedHashMap<>();
        if (rows != null) {
            answer.put("rows", rows);
        }
        answer.put("version_number", mVersion);
        answer.put("now_ms", (System.nanoTime() - mStartNanos) / 1_000_000L);
        return answer;
    }

    private Row row(Map<String, Object> entry, String value, boolean removed) {
        return new Row(
                text(entry, "table"),
                text(entry, "part"),
                text(entry, "key"),
                value,
                mVersion,
                removed);
    }

    private static final Map<String, String> JSON = Map.of("Content-Type", "application/json");

    private static byte[] bytes(Object value) {
        return Json.write(value).getBytes(StandardCharsets.UTF_8);
    }

    private static String id(Map<String, Object> entry) {
        return text(entry, "table") + "\0" + text(entry, "part") + "\0" + text(entry, "key");
    }

    private static String text(Map<String, Object> entry, String field) {
        return String.valueOf(entry.getOrDefault(field, ""));
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> query = new HashMap<>();
        String[] parts = uri.split("\\?", 2);
        for (String pair : parts.length < 2 ? new String[0] : parts[1].split("&")) {
            String[] entry = pair.split("=", 2);
            query.put(entry[0], URLDecoder.decode(entry[1], StandardCharsets.UTF_8));
        }
        return query;
    }
}
