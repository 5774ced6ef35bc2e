import java.io.Closeable;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: the store, servers, and gateways as separate processes with the
 * command of the deploy file. Closing it ends all processes that it started.
 */
final class Lab implements Closeable {

    /** One machine of the class front. */
    final class Gateway {
        final String mName;
        final String mIp;
        final Path mSettings;
        final Path mLog;
        Process mProcess;

        private Gateway(int number) {
            mName = "front-a-" + number;
            mIp = ip(10 + number);
            mSettings = mFolder.resolve(mName + ".toml");
            mLog = mFolder.resolve(mName + ".log");
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().clear();
            for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (System.getenv(name) != null) {
                    builder.environment().put(name, System.getenv(name));
                }
            }
            builder.environment().put("OLEANDERTRACK_CONFIG", mSettings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
            mProcess = builder.start();
            record("%s started, pid %d, %s", mName, mProcess.pid(), mIp);
        }

        void awaitReady() throws Exception {
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (System.nanoTime() - endNanos < 0) {
                if (isReady()) {
                    return;
                }
                Thread.sleep(50);
            }
            throw new CannotRun(mName + " is not ready after 20 s");
        }

        boolean isReady() {
            try (Http.Connection connection = new Http.Connection(mIp, READY_PORT, 1_000)) {
                connection.send("GET", "/readiness", Map.of("Host", mIp), new byte[0]);
                return connection.receive().status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("bash", "-c", "kill -" + signal + " " + mProcess.pid())
                    .start()
                    .waitFor();
            record("%s gets SIG%s", mName, signal);
        }
    }

    /** Thrown if the case cannot run. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String message) {
            super(message);
        }
    }

    static final int FRONT_PORT = 8149;
    static final int READY_PORT = 8141;
    static final int CONTROL_PORT = 8144;

    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Path mFolder;
    final Store mStore;
    final List<Gateway> mGateways = new ArrayList<>();
    private final PrintWriter mRecord;
    private final long mStartNanos = System.nanoTime();
    private final String mSubnet;

    Lab(Path caseFolder) throws IOException {
        mFolder = Files.createTempDirectory("review-2-");
        mRecord = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        Random random = new Random();
        mSubnet = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        mStore = new Store(ip(1));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        record("trouble: %b", mTrouble);
    }

    /** Returns a loopback address of this deployment. */
    String ip(int host) {
        return mSubnet + host;
    }

    /** Starts gateways and waits until they are ready. */
    void startGateways(int count, Map<String, String> bounds) throws Exception {
        for (int number = 1; number <= count; number++) {
            mGateways.add(new Gateway(number));
        }
        for (Gateway gateway : mGateways) {
            writeSettings(gateway, bounds);
            gateway.start();
        }
        for (Gateway gateway : mGateways) {
            gateway.awaitReady();
        }
        // A new gateway is an issuer of its own only three seconds after the others know it.
        Thread.sleep(4_000);
    }

    synchronized void record(String format, Object... values) {
        mRecord.printf("%8.3f ", (System.nanoTime() - mStartNanos) / 1e9);
        mRecord.println(String.format(format, values));
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    /** Ends the case with exit code 10 if the rule was broken, which run.sh makes 1. */
    void finish(boolean broken) {
        record(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
        System.out.println(broken ? "the rule was broken" : "the rule held");
        close();
        Runtime.getRuntime().halt(broken ? 10 : 0);
    }

    /** Runs a case; any exception means that it could not run. */
    static void run(Path folder, Case body) {
        try (Lab lab = new Lab(folder)) {
            Thread watchdog =
                    Thread.ofPlatform()
                            .daemon()
                            .start(
                                    () -> {
                                        try {
                                            Thread.sleep(115_000);
                                        } catch (InterruptedException e) {
                                            return;
                                        }
                                        lab.record("RESULT: not finished after 115 s");
                                        lab.close();
                                        Runtime.getRuntime().halt(2);
                                    });
            try {
                body.run(lab);
            } catch (Exception e) {
                lab.record("RESULT: cannot run: %s", e);
                e.printStackTrace();
                lab.close();
                Runtime.getRuntime().halt(2);
            }
            watchdog.interrupt();
        } catch (IOException e) {
            e.printStackTrace();
            Runtime.getRuntime().halt(2);
        }
    }

    /** Body of a case. */
    interface Case {
        void run(Lab lab) throws Exception;
    }

    @Override
    public void close() {
        killAll();
        mRecord.flush();
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(mFolder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
                Files.delete(mFolder);
            } catch (IOException e) {
                // The folder is a temporary one.
            }
        } else {
            System.out.println("logs: " + mFolder);
        }
    }

    private void killAll() {
        for (Gateway gateway : mGateways) {
            if (gateway.mProcess != null) {
                gateway.mProcess.destroyForcibly();
            }
        }
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new CannotRun("deploy/system.toml has no command");
    }

    private void writeSettings(Gateway gateway, Map<String, String> bounds) throws IOException {
        StringBuilder text = new StringBuilder();
        text.append("node_name = \"" + gateway.mName + "\"\n");
        text.append("role = \"gateway\"\nmachine_class = \"front\"\n");
        text.append("serves = [\"front\",\"control\"]\n");
        text.append("ip_address = \"" + gateway.mIp + "\"\n");
        text.append("zone = \"zone-a\"\nregion = \"region-a\"\n");
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, mGateways.size()); i++) {
            seeds.add("\"" + mGateways.get(i).mIp + ":" + CONTROL_PORT + "\"");
        }
        text.append("seeds = [" + String.join(",", seeds) + "]\n");
        text.append("bootstrap = true\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n");
        text.append("heartbeat_interval_ms = 1200\n");
        text.append("[zones]\nzone-a = \"region-a\"\n[listen]\n");
        text.append("front = \"" + gateway.mIp + ":" + FRONT_PORT + "\"\n");
        text.append("ready_addr = \"" + gateway.mIp + ":" + READY_PORT + "\"\n");
        text.append("control = \"" + gateway.mIp + ":" + CONTROL_PORT + "\"\n");
        text.append("[limits]\ncpu_share = 0.75\ncores = 2\nmemory_mb = 290\n");
        text.append("file_descriptors = 8200\nlink_mbps = 1000.0\ndisk_mb = 0\n");
        text.append("[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n");
        Map<String, String> all = new LinkedHashMap<>();
        all.put("seed_lag_s", "3");
        all.put("reuse_after_s", "2");
        all.put("stable_window_ms", "3000");
        all.put("acknowledge_ms", "4000");
        all.put("catch_up_s", "4");
        all.put("drain_ms", "2000");
        all.put("grace_period_s", "8");
        all.put("loss_slack_ms", "200");
        all.put("config_propagation_ms", "2000");
        all.put("back_ms", "250");
        all.put("outer_ms", "5000");
        all.put("recovery_s", "12");
        all.put("pass_ms", "120");
        all.put("retry_after_s", "0");
        all.putAll(bounds);
        all.forEach((name, value) -> text.append(name + " = " + value + "\n"));
        text.append("[platform]\naddress = \"" + ip(1) + ":" + mStore.port() + "\"\n");
        text.append("form = \"table\"\nwrites_per_s = 800\nreads_per_s = 2000\n");
        text.append("transaction_ms = 5.0\npart_writes_per_s = 200\nrow_bytes = 65536\n");
        text.append("across = false\nhistory_s = 20\n");
        Files.writeString(gateway.mSettings, text);
    }
}
