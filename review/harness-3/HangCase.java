import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Twice as many users as usual come at once, each with one request of 200 KB. */
final class HangCase {
    private static final int USUAL_CLIENTS = 200;
    private static final int BURST_FACTOR = 2;
    private static final int BODY_BYTES = 200_000;
    private static final int WORK_MILLIS = 2_000;
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int SERVERS = 10;
    private static final int SMALL_CLIENTS = 60;

    private record Seen(String id, String outcome, long millis) {}

    public static void main(String[] args) throws Exception {
        int status;
        try (Deployment deployment = new Deployment(Path.of(args[0]), 84, 2, "")) {
            List<Http.Server> servers = new ArrayList<>();
            Map<String, String> runs = new ConcurrentHashMap<>();
            for (int i = 0; i < SERVERS; i++) {
                String name = "i-" + i;
                servers.add(
                        new Http.Server(
                                "127.0.0.1",
                                0,
                                (request, connection) -> {
                                    String id = request.header("x-request-id");
                                    runs.put(id, name);
                                    deployment.record(
                                            "%s runs %s, body of %d bytes",
                                            name, id, request.body().length);
                                    Thread.sleep(
                                            request.body().length == BODY_BYTES
                                                    ? WORK_MILLIS
                                                    : 20);
                                    connection.write(
                                            Http.response(
                                                    200,
                                                    "X-Request-Id: "
                                                            + id
                                                            + "\r\nX-Response-Signature: s."
                                                            + id
                                                            + "\r\nX-Server-Load: 1,0,64\r\n",
                                                    "done\n"));
                                }));
                deployment.registerServer(name, "app", servers.get(i).port(), "v1", 64);
            }
            deployment.mStore.put(
                    "op",
                    "config",
                    Json.map(
                            "version", 7L,
                            "routes",
                                    List.of(
                                            Json.map(
                                                    "name", "reserve",
                                                    "host", Deployment.HOST,
                                                    "prefix", "/reserve/",
                                                    "kind", "unsafe",
                                                    "timeout_ms", (long) TIMEOUT_MILLIS,
                                                    "target_latency_ms", 1200L,
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
            deployment.startGateways();
            Gateway gateway = deployment.mGateways.getFirst();
            AtomicBoolean stop = new AtomicBoolean();
            for (int i = 0; i < SMALL_CLIENTS; i++) {
                String id = "small-" + i + "-";
                Thread.startVirtualThread(() -> sendSmall(gateway, id, stop));
            }
            Queue<Seen> usual = sendAtOnce(deployment, gateway, "usual", USUAL_CLIENTS);
            deployment.say("%d usual clients: %s", USUAL_CLIENTS, outcomes(usual));
            int clients = USUAL_CLIENTS * (deployment.trouble() ? BURST_FACTOR : 1);
            deployment.say("%d clients come at once", clients);
            Queue<Seen> burst = sendAtOnce(deployment, gateway, "burst", clients);
            deployment.say("%d clients: %s", clients, outcomes(burst));
            Thread.sleep(10_000);
            Seen after = send(gateway, "after", 5);
            Seen other = send(deployment.mGateways.get(1), "other", 5);
            deployment.say(
                    "10 s later: the gateway is %s and %s; a small request to it: %s; the same to"
                            + " the other gateway: %s",
                    gateway.isAlive() ? "alive" : "gone",
                    gateway.isReady() ? "ready" : "not ready",
                    after.outcome(),
                    other.outcome());
            long unanswered =
                    burst.stream().filter(seen -> seen.millis() >= TIMEOUT_MILLIS).count();
            long late =
                    burst.stream().filter(seen -> seen.millis() > TIMEOUT_MILLIS + 500).count();
            long run =
                    burst.stream()
                            .filter(seen -> seen.millis() > TIMEOUT_MILLIS + 500)
                            .filter(seen -> runs.containsKey(seen.id()))
                            .count();
            deployment.say(
                    "unanswered at the route's timeout_ms of %d: %d; %d of them without an"
                            + " answer half a second later, of which a server ran %d",
                    TIMEOUT_MILLIS, unanswered, late, run);
            boolean sound =
                    usual.stream().allMatch(seen -> seen.outcome().equals("200"))
                            && other.outcome().equals("200");
            status = !sound ? 2 : late >= 8 && 2 * late > unanswered ? 1 : 0;
            deployment.say(
                    status == 2
                            ? "the case could not run"
                            : status == 1 ? "CONFIG is broken" : "CONFIG holds");
            stop.set(true);
            for (Http.Server server : servers) {
                server.close();
            }
        }
        System.exit(status);
    }

    private static void sendSmall(Gateway gateway, String id, AtomicBoolean stop) {
        for (int i = 0; !stop.get(); i++) {
            send(gateway, id + i, 600);
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static Map<String, AtomicInteger> outcomes(Queue<Seen> seen) {
        Map<String, AtomicInteger> counts = new ConcurrentSkipListMap<>();
        seen.forEach(
                one ->
                        counts.computeIfAbsent(one.outcome(), key -> new AtomicInteger())
                                .incrementAndGet());
        return counts;
    }

    private static Queue<Seen> sendAtOnce(
            Deployment deployment, Gateway gateway, String prefix, int clients)
            throws InterruptedException {
        Queue<Seen> seen = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            String id = prefix + "-" + i;
            threads.add(
                    Thread.startVirtualThread(
                            () -> {
                                Seen one = send(gateway, id, BODY_BYTES);
                                deployment.record(
                                        "client: %s %s after %d ms",
                                        id, one.outcome(), one.millis());
                                seen.add(one);
                            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return seen;
    }

    /** Times count from the last byte of the request. */
    private static Seen send(Gateway gateway, String id, int bodyBytes) {
        long lastByteNanos = System.nanoTime();
        String outcome;
        try (Http.Connection connection =
                Http.Connection.open(gateway.mAddress, Gateway.FRONT_PORT)) {
            connection.mSocket.setSoTimeout(TIMEOUT_MILLIS + 3_000);
            connection.write(
                    ("POST /reserve/2f HTTP/1.1\r\nHost: "
                                    + Deployment.HOST
                                    + "\r\nX-Request-Id: "
                                    + id
                                    + "\r\nX-Deadline-Milliseconds: "
                                    + TIMEOUT_MILLIS
                                    + "\r\nContent-Length: "
                                    + bodyBytes
                                    + "\r\n\r\n"
                                    + "x".repeat(bodyBytes))
                            .getBytes(StandardCharsets.US_ASCII));
            lastByteNanos = System.nanoTime();
            outcome = Integer.toString(connection.readResponse().status());
        } catch (Exception e) {
            outcome = e.getClass().getSimpleName();
        }
        return new Seen(id, outcome, (System.nanoTime() - lastByteNanos) / 1_000_000);
    }
}
