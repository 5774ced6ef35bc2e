import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A server names Server-Limit; the gateway that issues its permits freezes once. */
final class LimitCase {
    private static final int GATEWAYS = Integer.getInteger("gateways", 12);
    private static final int LIMIT_PER_S = Integer.getInteger("limit", 16);
    // "The share of connections per node is uneven" (PROTOCOL, Ingress).
    private static final int BUSY_GATEWAYS = 3;
    private static final double BUSY_CALLS_PER_S = Double.parseDouble(System.getProperty("busy", "15"));
    private static final double CALLS_PER_S = Double.parseDouble(System.getProperty("calls", "3"));
    private static final long FREEZE_MILLIS = Long.getLong("freeze", 4_000);
    private static final double STABLE_WINDOW_S = 3;
    private static final double WINDOW_S = 4;

    private record Arrival(double seconds, int gateway) {}

    public static void main(String[] args) throws Exception {
        Map<String, Integer> gatewayOfRequest = new ConcurrentHashMap<>();
        ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
        // When a gateway first passed on an answer with the limit.
        Map<Integer, Double> knownSince = new ConcurrentHashMap<>();
        AtomicLong firstNamed = new AtomicLong();
        Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
        double broken = -1;
        try (Deployment deployment = new Deployment(Path.of(args[0]), Integer.getInteger("net", 81), GATEWAYS, "");
                Http.Server server =
                        new Http.Server(
                                "127.0.0.1",
                                0,
                                (request, connection) -> {
                                    String id = request.header("x-request-id");
                                    double now = deployment.seconds();
                                    arrivals.add(new Arrival(now, gatewayOfRequest.get(id)));
                                    deployment.record(
                                            "server runs %s from gateway %d",
                                            id, gatewayOfRequest.get(id));
                                    firstNamed.compareAndSet(0, System.nanoTime());
                                    Thread.sleep(20);
                                    connection.write(
                                            Http.response(
                                                    200,
                                                    "X-Request-Id: "
                                                            + id
                                                            + "\r\nX-Response-Signature: s."
                                                            + id
                                                            + "\r\nX-Server-Load: 1,0,32\r\n"
                                                            + "Server-Limit: "
                                                            + LIMIT_PER_S
                                                            + ".0\r\n",
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
                                                    "name", "reserve",
                                                    "host", Deployment.HOST,
                                                    "prefix", "/reserve/",
                                                    "kind", "unsafe",
                                                    "timeout_ms", 6000L,
                                                    "target_latency_ms", 1200L,
                                                    "priority", 0L,
                                                    "service", "app",
                                                    "attempts", 1L)),
                            "services",
                                    List.of(
                                            Json.map(
                                                    "name", "app",
                                                    "health_path", "/health",
                                                    "connection_limit", 400L)),
                            "limits", Deployment.limits()));
            // The gateway that issues the permits for the server, by the project's own order. The id
            // is chosen so that this is not a busy one.
            int issuer = 0;
            String server1 = "";
            for (int i = 0; issuer < BUSY_GATEWAYS; i++) {
                server1 = "i-limited-" + i;
                issuer = issuerOf(server1, deployment.mGateways);
            }
            int issuerNumber = issuer;
            deployment.registerServer(server1, "app", server.port(), "v1", 32);
            deployment.startGateways();
            deployment.say(
                    "gateway %d issues the permits of %s, which names Server-Limit %d",
                    issuer, server1, LIMIT_PER_S);
            double endSeconds = deployment.seconds() + 22;
            List<Thread> clients = new ArrayList<>();
            for (int g = 0; g < GATEWAYS; g++) {
                int number = g;
                clients.add(
                        Thread.startVirtualThread(
                                () ->
                                        sendCalls(
                                                deployment,
                                                number,
                                                endSeconds,
                                                gatewayOfRequest,
                                                knownSince,
                                                outcomes)));
            }
            Thread.sleep(8_000);
            if (deployment.trouble()) {
                deployment.say("SIGSTOP to gateway %d for %d ms", issuer, FREEZE_MILLIS);
                deployment.mGateways.get(issuer).signal("STOP");
                Thread.sleep(FREEZE_MILLIS);
                deployment.mGateways.get(issuer).signal("CONT");
                deployment.say("SIGCONT to gateway %d", issuer);
            }
            for (Thread client : clients) {
                client.join();
            }
            Thread.sleep(2_000);
            // Only requests of gateways that were never stopped count.
            List<Arrival> counted =
                    arrivals.stream()
                            .filter(arrival -> arrival.gateway() != issuerNumber)
                            .filter(
                                    arrival ->
                                            knownSince.containsKey(arrival.gateway())
                                                    && knownSince.get(arrival.gateway()) + 0.5
                                                            <= arrival.seconds())
                            .sorted((a, b) -> Double.compare(a.seconds(), b.seconds()))
                            .toList();
            double from =
                    arrivals.stream().mapToDouble(Arrival::seconds).min().orElse(0)
                            + STABLE_WINDOW_S;
            double allowed = 1.5 * LIMIT_PER_S * WINDOW_S + 5;
            int most = 0;
            double mostAt = 0;
            for (int first = 0; first < counted.size(); first++) {
                if (counted.get(first).seconds() < from) {
                    continue;
                }
                int count = 0;
                while (first + count < counted.size()
                        && counted.get(first + count).seconds()
                                < counted.get(first).seconds() + WINDOW_S) {
                    count++;
                }
                if (count > most) {
                    most = count;
                    mostAt = counted.get(first).seconds();
                }
            }
            deployment.say("outcomes at the clients: %s", outcomes);
            deployment.say(
                    "most requests in %.0f s: %d, from %.3f s on; allowed: 1.5 x %d x 4 + 5 = %.0f",
                    WINDOW_S, most, mostAt, LIMIT_PER_S, allowed);
            boolean served = outcomes.getOrDefault("200", new AtomicInteger()).get() > 100;
            if (!served) {
                deployment.say("the case could not run");
                broken = 2;
            } else {
                broken = most > allowed ? 1 : 0;
            }
            deployment.say(broken == 1 ? "LIMIT is broken" : "LIMIT holds");
        }
        System.exit((int) broken);
    }

    private static int issuerOf(String target, List<Gateway> gateways) throws Exception {
        int best = 0;
        for (int i = 1; i < gateways.size(); i++) {
            if (Rendezvous.score(target, gateways.get(i).mNode)
                    > Rendezvous.score(target, gateways.get(best).mNode)) {
                best = i;
            }
        }
        return best;
    }

    private static void sendCalls(
            Deployment deployment,
            int gateway,
            double endSeconds,
            Map<String, Integer> gatewayOfRequest,
            Map<Integer, Double> knownSince,
            Map<String, AtomicInteger> outcomes) {
        Random random = new Random(1000 + gateway);
        double callsPerSecond = gateway < BUSY_GATEWAYS ? BUSY_CALLS_PER_S : CALLS_PER_S;
        for (int i = 0; deployment.seconds() < endSeconds; i++) {
            String id = "g" + gateway + "-" + i;
            gatewayOfRequest.put(id, gateway);
            Thread.startVirtualThread(
                    () -> {
                        String outcome;
                        try (Http.Connection connection =
                                Http.Connection.open(
                                        deployment.mGateways.get(gateway).mAddress,
                                        Gateway.FRONT_PORT)) {
                            connection.mSocket.setSoTimeout(8_000);
                            connection.write(
                                    "POST /reserve/2f HTTP/1.1\r\nHost: "
                                            + Deployment.HOST
                                            + "\r\nX-Request-Id: "
                                            + id
                                            + "\r\nX-Deadline-Milliseconds: 6000\r\n"
                                            + "Content-Length: 4\r\n\r\nname");
                            Http.Message answer = connection.readResponse();
                            outcome = Integer.toString(answer.status());
                            if (!answer.header("server-limit").isEmpty()) {
                                knownSince.putIfAbsent(gateway, deployment.seconds());
                            }
                        } catch (Exception e) {
                            outcome = e.getClass().getSimpleName();
                        }
                        outcomes.computeIfAbsent(outcome, key -> new AtomicInteger())
                                .incrementAndGet();
                        deployment.record("client of gateway %d: %s %s", gateway, id, outcome);
                    });
            try {
                Thread.sleep(
                        (long) (-Math.log(1 - random.nextDouble()) / callsPerSecond * 1_000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
