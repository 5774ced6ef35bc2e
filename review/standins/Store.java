import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store of rows. Rows never expire, and its history is kept whole. */
final class Store {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long ANSWER_MILLIS = 4;
    private static final long TRANSACTION_MILLIS = 5;

    private record Id(String table, String part, String key) implements Comparable<Id> {
        @Override
        public int compareTo(Id other) {
            int byTable = table.compareTo(other.table);
            int byPart = part.compareTo(other.part);
            return byTable != 0 ? byTable : byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    private record Change(Id id, String value, long version) {}

    private final ServerSocket mListener;
    private final long mStartNanos = System.nanoTime();
    private final TreeMap<Id, Change> mRows = new TreeMap<>();
    private final List<Change> mChanges = new ArrayList<>();
    private long mVersion;
    private volatile boolean mDown;

    Store() throws IOException {
        mListener = new ServerSocket();
        mListener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        Thread.ofVirtual().start(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** While the store is down it answers every call with 503, and nothing is done. */
    synchronized void setDown(boolean down) {
        mDown = down;
        notifyAll();
    }

    /** Writes a row as the operator or a server does. */
    synchronized void put(String table, String key, String json) {
        write(
                new Id(table, "", key),
                Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
    }

    private synchronized void write(Id id, String value) {
        Change change = new Change(id, value, ++mVersion);
        if (value == null) {
            mRows.remove(id);
        } else {
            mRows.put(id, change);
        }
        mChanges.add(change);
        notifyAll();
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket socket = mListener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Head head;
            while ((head = Http.readHead(in)) != null) {
                byte[] body = Http.readBody(in, head);
                Thread.sleep(ANSWER_MILLIS);
                ObjectNode answer = MAPPER.createObjectNode();
                int status = mDown ? 503 : call(head.word(1), body, answer);
                byte[] bytes = MAPPER.writeValueAsBytes(answer);
                out.write(
                        Http.ascii(
                                "HTTP/1.1 "
                                        + status
                                        + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                        + bytes.length
                                        + "\r\n\r\n"));
                out.write(bytes);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed its connection.
        }
    }

    private int call(String uri, byte[] body, ObjectNode answer)
            throws IOException, InterruptedException {
        String path = uri.split("\\?", 2)[0];
        Map<String, String> query = new HashMap<>();
        for (String pair : uri.contains("?") ? uri.split("\\?", 2)[1].split("&") : new String[0]) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        int status =
                switch (path) {
                    case "/rows-tx" -> transact(MAPPER.readTree(body), answer);
                    case "/rows-get" -> read(query, answer);
                    case "/rows-feed" -> feed(query, answer);
                    default -> 404;
                };
        answer.put("now_ms", (System.nanoTime() - mStartNanos) / 1_000_000);
        return status;
    }

    private int transact(JsonNode body, ObjectNode answer) throws InterruptedException {
        Thread.sleep(TRANSACTION_MILLIS);
        synchronized (this) {
            boolean holds = true;
            ArrayNode current = answer.putArray("rows");
            for (JsonNode expected : body.path("expect")) {
                Change row = mRows.get(idOf(expected));
                long version = row == null ? 0 : row.version();
                holds &= version == expected.path("version_number").asLong();
                if (row != null) {
                    add(current, row);
                }
            }
            if (!holds) {
                answer.put("version_number", mVersion);
                return 412;
            }
            answer.remove("rows");
            body.path("writes").forEach(row -> write(idOf(row), row.path("value").asText()));
            body.path("remove").forEach(row -> write(idOf(row), null));
            answer.put("version_number", mVersion);
            return 200;
        }
    }

    private synchronized int read(Map<String, String> query, ObjectNode answer) {
        Id from =
                new Id(
                        query.get("table"),
                        query.getOrDefault("part", ""),
                        query.getOrDefault("from", ""));
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        ArrayNode rows = answer.putArray("rows");
        boolean more = false;
        for (Change row : mRows.tailMap(from).values()) {
            if (!row.id().table().equals(from.table()) || !row.id().part().equals(from.part())) {
                break;
            }
            if (rows.size() == limit) {
                more = true;
                break;
            }
            add(rows, row);
        }
        answer.put("has_more", more).put("version_number", mVersion);
        return 200;
    }

    private synchronized int feed(Map<String, String> query, ObjectNode answer)
            throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        ArrayNode rows = answer.putArray("rows");
        while (true) {
            if (mDown) {
                answer.removeAll();
                return 503;
            }
            for (Change change : mChanges) {
                if (change.version() > after && change.id().table().equals(query.get("table"))) {
                    add(rows, change);
                }
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || leftMillis <= 0) {
                answer.put("version_number", mVersion);
                return 200;
            }
            wait(leftMillis);
        }
    }

    private static Id idOf(JsonNode row) {
        return new Id(
                row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
    }

    private static void add(ArrayNode rows, Change change) {
        ObjectNode row =
                rows.addObject()
                        .put("table", change.id().table())
                        .put("part", change.id().part())
                        .put("key", change.id().key())
                        .put("version_number", change.version());
        if (change.value() == null) {
            row.put("tombstone", true);
        } else {
            row.put("value", change.value());
        }
    }
}
