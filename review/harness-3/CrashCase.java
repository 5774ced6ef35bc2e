import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A request crashes each server that begins to run it; the crashed servers fall silent. */
final class CrashCase {
    private static final int SERVERS = 20;
    private static final int DOWN_MILLIS = 4_500;
    private static final int REMOVED_AFTER_MILLIS = 3_600;
    private static final int DEADLINE_MILLIS = 4_000;
    private static final int RETRIES = 20;
    private static final int RETRY_INTERVAL_MILLIS = 2_500;
    private static final double STABLE_WINDOW_S = 3;
    private static final String DEADLY_BODY = "a name that no server survives";

    private record Crash(double seconds, String requestId, String server) {}

    /** A server whose machine goes down when it begins to run the deadly request. */
    private static final class Victim {
        private final Deployment mDeployment;
        private final String mId;
        private final Queue<Crash> mCrashes;
        private final String mMode;
        private final Set<Http.Connection> mConnections = ConcurrentHashMap.newKeySet();
        private volatile ServerSocket mSocket;
        private volatile boolean mDown;
        private int mPort;

        Victim(Deployment deployment, String id, Queue<Crash> crashes, String mode)
                throws Exception {
            mDeployment = deployment;
            mId = id;
            mCrashes = crashes;
            mMode = mode;
            listen();
        }

        private void listen() throws Exception {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), mPort), 1);
            mPort = socket.getLocalPort();
            mSocket = socket;
            mDown = false;
            mDeployment.registerServer(mId, "app", mPort, "v1", 6);
            Thread.startVirtualThread(() -> accept(socket));
        }

        private void accept(ServerSocket socket) {
            try {
                while (!mDown) {
                    Socket accepted = socket.accept();
                    Http.Connection connection = new Http.Connection(accepted);
                    mConnections.add(connection);
                    Thread.startVirtualThread(() -> serve(connection));
                }
            } catch (Exception e) {
                // The socket was closed.
            }
        }

        private void serve(Http.Connection connection) {
            try {
                for (Http.Message request = connection.readRequest();
                        request != null && !mDown;
                        request = connection.readRequest()) {
                    String id = request.header("x-request-id");
                    if (!mMode.equals("0") && request.text().equals(DEADLY_BODY)) {
                        crash(id);
                        return;
                    }
                    Thread.sleep(30);
                    if (mDown) {
                        return;
                    }
                    connection.write(
                            Http.response(
                                    200,
                                    "X-Request-Id: "
                                            + id
                                            + "\r\nX-Response-Signature: s."
                                            + id
                                            + "\r\nX-Server-Load: 1,0,6\r\n",
                                    "done\n"));
                }
            } catch (Exception e) {
                // The connection has ended.
            }
        }

        private synchronized void crash(String requestId) throws Exception {
            if (mDown) {
                return;
            }
            mDown = true;
            mCrashes.add(new Crash(mDeployment.seconds(), requestId, mId));
            mDeployment.record("%s begins to run %s and crashes", mId, requestId);
            if (mMode.equals("reset")) {
                mSocket.close();
                resetConnections();
            }
            Thread.startVirtualThread(this::comeBack);
        }

        private void comeBack() {
            try {
                Thread.sleep(REMOVED_AFTER_MILLIS);
                mDeployment.mStore.remove("servers", mId);
                Thread.sleep(DOWN_MILLIS - REMOVED_AFTER_MILLIS);
                mSocket.close();
                resetConnections();
                listen();
                mDeployment.record("%s is back", mId);
            } catch (Exception e) {
                mDeployment.record("%s does not come back: %s", mId, e);
            }
        }

        private void resetConnections() throws Exception {
            for (Http.Connection connection : mConnections) {
                connection.reset();
            }
            mConnections.clear();
        }
    }

    public static void main(String[] args) throws Exception {
        int status;
        // "0": the request crashes nothing; "reset": the crash resets all connections at once.
        String trouble = System.getenv("TROUBLE");
        String mode = trouble == null ? "dark" : trouble;
        Queue<Crash> crashes = new ConcurrentLinkedQueue<>();
        Queue<String> outcomes = new ConcurrentLinkedQueue<>();
        try (Deployment deployment = new Deployment(Path.of(args[0]), 85, 2, "")) {
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
                                                    "timeout_ms", (long) DEADLINE_MILLIS,
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
            for (int i = 0; i < SERVERS; i++) {
                new Victim(deployment, "i-" + i, crashes, mode);
            }
            deployment.startGateways();
            deployment.say("crashes: %s", mode);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < RETRIES; i++) {
                String id = "deadly-" + i;
                Gateway gateway = deployment.mGateways.get(i % 2);
                clients.add(
                        Thread.startVirtualThread(
                                () -> {
                                    String outcome = send(gateway, id);
                                    deployment.record("client: %s %s", id, outcome);
                                    outcomes.add(id + " " + outcome);
                                }));
                Thread.sleep(RETRY_INTERVAL_MILLIS);
            }
            for (Thread client : clients) {
                client.join();
            }
            List<Crash> all = new ArrayList<>(crashes);
            long late = 0;
            if (all.size() >= 3) {
                double from = all.get(2).seconds() + STABLE_WINDOW_S;
                late =
                        all.stream()
                                .filter(crash -> crash.seconds() > from)
                                .map(Crash::requestId)
                                .distinct()
                                .count();
            }
            deployment.say("answers: %s", outcomes);
            deployment.say(
                    "%d crashes; retries that reached a server later than %.0f s after the third"
                            + " crash: %d",
                    all.size(), STABLE_WINDOW_S, late);
            status = outcomes.size() < RETRIES ? 2 : late > 3 ? 1 : 0;
            deployment.say(
                    status == 2
                            ? "the case could not run"
                            : status == 1 ? "BUDGET is broken" : "BUDGET holds");
        }
        System.exit(status);
    }

    private static String send(Gateway gateway, String id) {
        try (Http.Connection connection =
                Http.Connection.open(gateway.mAddress, Gateway.FRONT_PORT)) {
            connection.mSocket.setSoTimeout(DEADLINE_MILLIS + 1_000);
            connection.write(
                    "POST /issue/2f HTTP/1.1\r\nHost: "
                            + Deployment.HOST
                            + "\r\nX-Request-Id: "
                            + id
                            + "\r\nX-Deadline-Milliseconds: "
                            + DEADLINE_MILLIS
                            + "\r\nContent-Length: "
                            + DEADLY_BODY.length()
                            + "\r\n\r\n"
                            + DEADLY_BODY);
            return Integer.toString(connection.readResponse().status());
        } catch (Exception e) {
            return e.getClass().getSimpleName();
        }
    }
}
