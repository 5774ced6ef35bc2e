import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A gateway process, started with the command of the deploy file. */
final class Gateway {
    // The gateway serves its metrics on this port of its own address.
    private static final int METRICS_PORT = 9464;
    private static final long START_MILLIS = 20_000;

    private final String mName;
    private final String mIp;
    private final int mFrontPort;
    private final int mReadyPort;
    private final int mControlPort;
    private final Path mFolder;
    private Process mProcess;

    Gateway(String name, Path folder) throws IOException {
        mName = name;
        mFolder = folder;
        mIp = freeAddress();
        mFrontPort = freePort(mIp);
        mReadyPort = freePort(mIp);
        mControlPort = freePort(mIp);
    }

    String name() {
        return mName;
    }

    String controlAddress() {
        return mIp + ":" + mControlPort;
    }

    InetSocketAddress front() {
        return new InetSocketAddress(mIp, mFrontPort);
    }

    Path logFile() {
        return mFolder.resolve(mName + ".log");
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Writes the settings file and starts the process. */
    void start(Store store, List<String> seeds) throws IOException {
        Path settings = mFolder.resolve(mName + ".toml");
        Files.writeString(
                settings,
                """
                node_name = "%s"
                role = "gateway"
                machine_class = "front"
                serves = ["front","control"]
                ip_address = "%s"
                zone = "zone-a"
                region = "region"
                seeds = [%s]
                bootstrap = true
                discovery = "platform"
                heartbeat_interval_ms = 1200
                [zones]
                zone-a = "region"
                [listen]
                front = "%s:%d"
                ready_addr = "%s:%d"
                control = "%s:%d"
                [limits]
                memory_mb = 430
                file_descriptors = 8200
                [bounds]
                stable_window_ms = 3000
                drain_ms = 2000
                grace_period_s = 8
                config_propagation_ms = 2000
                [platform]
                address = "%s"
                form = "table"
                """
                        .formatted(
                                mName,
                                mIp,
                                String.join(",", seeds.stream().map(s -> "\"" + s + "\"").toList()),
                                mIp,
                                mFrontPort,
                                mIp,
                                mReadyPort,
                                mIp,
                                mControlPort,
                                store.address()));
        ProcessBuilder builder = new ProcessBuilder(command());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("OLEANDERTRACK_CONFIG", settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        mProcess = builder.start();
    }

    /** Waits until the readiness address answers with 200. */
    void awaitReady() throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
        while (System.nanoTime() < endNanos) {
            if (isReady()) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException(mName + " is not ready");
    }

    boolean isReady() {
        Client.Response response =
                new Client(new InetSocketAddress(mIp, mReadyPort))
                        .call("GET", "/readiness", List.of(), new byte[0], 1_000, 1_000);
        return response.status() == 200;
    }

    /** Ends the process with SIGKILL. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    /** Sends SIGTERM, waits for the end and kills the process after the grace period. */
    void terminate() throws InterruptedException {
        mProcess.destroy();
        if (!mProcess.waitFor(8, TimeUnit.SECONDS)) {
            kill();
        }
    }

    private static List<String> command() throws IOException {
        String run =
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        return List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
    }

    private static String freeAddress() throws IOException {
        for (int i = 0; i < 100; i++) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String ip =
                    "127."
                            + random.nextInt(1, 200)
                            + "."
                            + random.nextInt(1, 250)
                            + "."
                            + random.nextInt(2, 250);
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(InetAddress.getByName(ip), METRICS_PORT));
                return ip;
            } catch (IOException e) {
                // The address is in use.
            }
        }
        throw new IOException("no free loopback address");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return probe.getLocalPort();
        }
    }
}
