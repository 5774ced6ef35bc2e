import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients send a body within the limit, in small chunks; others send small requests. */
final class ChunksCase {
    private static final int UPLOADS = 10;
    private static final int BODY_BYTES = 2_000_000;
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int LATE_MILLIS = TIMEOUT_MILLIS + 500;
    private static final int WATCH_MILLIS = 40_000;

    /** What a client saw of one request. Times count from its last byte. */
    private record Seen(String id, String outcome, long millis) {}

    public static void main(String[] args) throws Exception {
        int status;
        ConcurrentLinkedQueue<Seen> uploads = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<Seen> lookups = new ConcurrentLinkedQueue<>();
        AtomicInteger runUploads = new AtomicInteger();
        try (Deployment deployment = new Deployment(Path.of(args[0]), 82, 2, "");
                Http.Server server =
                        new Http.Server(
                                "127.0.0.1",
                                0,
                                (request, connection) -> {
                                    String id = request.header("x-request-id");
                                    deployment.record(
                                            "server runs %s, body of %d bytes",
                                            id, request.body().length);
                                    if (request.body().length == BODY_BYTES) {
                                        runUploads.incrementAndGet();
                                    }
                                    Thread.sleep(20);
                                    connection.write(
                                            Http.response(
                                                    200,
                                                    "X-Request-Id: "
                                                            + id
                                                            + "\r\nX-Response-Signature: s."
                                                            + id
                                                            + "\r\nX-Server-Load: 1,0,64\r\n",
                                                    "done\n"));
                                })) {
            deployment.mStore.put(
                    "op",
                    "config",
                    Json.map(
                            "version", 7L,
                            "routes",
                                    List.of(
                                            Json.map(
                                                    "name", "issue",
                                                    "host", Deployment.HOST,
                                                    "prefix", "/issue/",
                                                    "kind", "unsafe",
                                                    "timeout_ms", (long) TIMEOUT_MILLIS,
                                                    "target_latency_ms", 800L,
                                                    "priority", 2L,
                                                    "service", "app",
                                                    "attempts", 1L)),
                            "services",
                                    List.of(
                                            Json.map(
                                                    "name", "app",
                                                    "health_path", "/health",
                                                    "connection_limit", 96L)),
                            "limits", Deployment.limits()));
            deployment.registerServer("i-1", "app", server.port(), "v1", 64);
            deployment.startGateways();
            Gateway gateway = deployment.mGateways.getFirst();
            AtomicBoolean stop = new AtomicBoolean();
            Thread small =
                    Thread.startVirtualThread(
                            () -> {
                                for (int i = 0; !stop.get(); i++) {
                                    lookups.add(send(deployment, gateway, "small-" + i, 5, 0));
                                }
                            });
            Thread.sleep(2_000);
            int chunkBytes = deployment.trouble() ? 8 : 16_384;
            deployment.say(
                    "%d clients send a body of %d bytes each, in chunks of %d bytes",
                    UPLOADS, BODY_BYTES, chunkBytes);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < UPLOADS; i++) {
                String id = "upload-" + i;
                clients.add(
                        Thread.startVirtualThread(
                                () ->
                                        uploads.add(
                                                send(
                                                        deployment,
                                                        gateway,
                                                        id,
                                                        BODY_BYTES,
                                                        chunkBytes))));
            }
            for (Thread client : clients) {
                client.join();
            }
            stop.set(true);
            small.join();
            long late = uploads.stream().filter(seen -> seen.millis() > LATE_MILLIS).count();
            long unanswered =
                    uploads.stream().filter(seen -> seen.millis() >= TIMEOUT_MILLIS).count();
            deployment.say("answers to the uploads: %s", uploads);
            deployment.say(
                    "slowest small request: %d ms; %d of %d took over 1 s",
                    lookups.stream().mapToLong(Seen::millis).max().orElse(0),
                    lookups.stream().filter(seen -> seen.millis() > 1_000).count(),
                    lookups.size());
            deployment.say("%d uploads ran", runUploads.get());
            deployment.say(
                    "unanswered at the route's timeout_ms of %d: %d; %d of them without an"
                            + " answer half a second later",
                    TIMEOUT_MILLIS, unanswered, late);
            boolean answered = lookups.stream().anyMatch(seen -> seen.outcome().equals("200"));
            status = !answered ? 2 : late >= 8 && 2 * late > unanswered ? 1 : 0;
            deployment.say(
                    status == 2
                            ? "the case could not run"
                            : status == 1 ? "CONFIG is broken" : "CONFIG holds");
        }
        System.exit(status);
    }

    /** Sends one request; a chunk size of 0 stands for a stated length. */
    private static Seen send(
            Deployment deployment, Gateway gateway, String id, int bodyBytes, int chunkBytes) {
        long lastByteNanos = System.nanoTime();
        String outcome;
        try (Http.Connection connection =
                Http.Connection.open(gateway.mAddress, Gateway.FRONT_PORT)) {
            connection.mSocket.setSoTimeout(WATCH_MILLIS);
            connection.write(
                    "POST /issue/4b HTTP/1.1\r\nHost: "
                            + Deployment.HOST
                            + "\r\nX-Request-Id: "
                            + id
                            + "\r\nX-Deadline-Milliseconds: "
                            + TIMEOUT_MILLIS
                            + "\r\n"
                            + (chunkBytes == 0
                                    ? "Content-Length: " + bodyBytes + "\r\n\r\n"
                                            + "x".repeat(bodyBytes)
                                    : "Transfer-Encoding: chunked\r\n\r\n"));
            if (chunkBytes > 0) {
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                for (int sent = 0; sent < bodyBytes; sent += chunkBytes) {
                    int length = Math.min(chunkBytes, bodyBytes - sent);
                    out.writeBytes(
                            (Integer.toHexString(length) + "\r\n" + "x".repeat(length) + "\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                    if (out.size() > 16_000) {
                        connection.write(out.toByteArray());
                        out.reset();
                    }
                }
                out.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                connection.write(out.toByteArray());
                deployment.record("client has sent the last byte of %s", id);
            }
            lastByteNanos = System.nanoTime();
            outcome = Integer.toString(connection.readResponse().status());
        } catch (Exception e) {
            outcome = e.getClass().getSimpleName();
        }
        long millis = (System.nanoTime() - lastByteNanos) / 1_000_000;
        deployment.record("client: %s %s after %d ms", id, outcome, millis);
        if (chunkBytes == 0) {
            try {
                Thread.sleep(100);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return new Seen(id, outcome, millis);
    }
}
