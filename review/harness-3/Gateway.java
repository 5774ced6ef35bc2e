import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started with the command of deploy/system.toml. */
final class Gateway implements AutoCloseable {
    static final int FRONT_PORT = 8149;
    private static final int READY_PORT = 8141;
    private static final int CONTROL_PORT = 8144;

    final String mNode;
    final String mAddress;
    private final Path mSettings;
    private final Path mLog;
    private Process mProcess;

    /** Addresses are loopback addresses; each gateway has its own, with the same ports. */
    Gateway(Path folder, String node, String address, List<String> seeds, int storePort, String more)
            throws IOException {
        mNode = node;
        mAddress = address;
        mSettings = folder.resolve(node + ".toml");
        mLog = folder.resolve(node + ".log");
        List<String> quoted = new ArrayList<>();
        seeds.forEach(seed -> quoted.add('"' + seed + ":" + CONTROL_PORT + '"'));
        Files.writeString(
                mSettings,
                """
                node_name = "%s"
                role = "gateway"
                machine_class = "front"
                serves = ["front","control"]
                ip_address = "%s"
                zone = "zone-a"
                region = "region"
                internal_ports = [7380,7395]
                seeds = [%s]
                bootstrap = true
                heartbeat_interval_ms = 1200
                [listen]
                front = "%s:%d"
                ready_addr = "%s:%d"
                control = "%s:%d"
                [bounds]
                stable_window_ms = 3000
                drain_ms = 2000
                grace_period_s = 8
                config_propagation_ms = 2000
                %s
                [platform]
                address = "127.0.0.1:%d"
                form = "table"
                writes_per_s = 800
                reads_per_s = 2000
                transaction_ms = 5.0
                part_writes_per_s = 200
                row_bytes = 65536
                """
                        .formatted(
                                node,
                                address,
                                String.join(",", quoted),
                                address,
                                FRONT_PORT,
                                address,
                                READY_PORT,
                                address,
                                CONTROL_PORT,
                                more,
                                storePort));
    }

    void start() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("OLEANDERTRACK_CONFIG", mSettings.toAbsolutePath().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(mLog.toString())));
        mProcess = builder.start();
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    long pid() {
        return mProcess.pid();
    }

    String log() throws IOException {
        return Files.readString(mLog);
    }

    boolean isReady() {
        try (Http.Connection connection = Http.Connection.open(mAddress, READY_PORT)) {
            connection.mSocket.setSoTimeout(500);
            connection.write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
            return connection.readResponse().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!isReady()) {
            if (System.nanoTime() > end || !isAlive()) {
                throw new IOException(mNode + " does not get ready: " + log());
            }
            Thread.sleep(50);
        }
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    }

    @Override
    public void close() {
        if (mProcess != null && mProcess.isAlive()) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** The ports must be free on the given address. */
    static Map<String, Integer> ports() {
        return Map.of("front", FRONT_PORT, "ready", READY_PORT, "control", CONTROL_PORT);
    }
}
