import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A store, gateways and the record of one run. Everything is ended by {@link #close}. */
final class Deployment implements AutoCloseable {
    static final String HOST = "service.example";

    final Path mFolder;
    final Store mStore;
    final List<Gateway> mGateways = new ArrayList<>();
    private final PrintWriter mRecord;
    private final long mStartNanos = System.nanoTime();
    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));

    /** Creates gateways with the addresses 127.0.NET.1, 127.0.NET.2 and so on. */
    Deployment(Path caseFolder, int net, int gateways, String moreBounds) throws IOException {
        mFolder = Files.createTempDirectory("review");
        mStore = new Store();
        mRecord = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= Math.min(3, gateways); i++) {
            seeds.add("127.0." + net + "." + i);
        }
        for (int i = 1; i <= gateways; i++) {
            mGateways.add(
                    new Gateway(
                            mFolder,
                            "front-zone-" + "abc".charAt((i - 1) % 3) + "-" + i,
                            "127.0." + net + "." + i,
                            seeds,
                            mStore.port(),
                            moreBounds));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> mGateways.forEach(Gateway::close)));
    }

    boolean trouble() {
        return mTrouble;
    }

    void startGateways() throws Exception {
        for (Gateway gateway : mGateways) {
            gateway.start();
        }
        for (Gateway gateway : mGateways) {
            gateway.awaitReady();
        }
        while (mStore.count("gateways") < mGateways.size()) {
            Thread.sleep(20);
        }
    }

    static Map<String, Object> limits() {
        return Json.map(
                "max_header_bytes", 16384L,
                "max_body_bytes", 4194304L,
                "header_timeout_ms", 3000L,
                "idle_timeout_ms", 15000L);
    }

    void registerServer(String id, String service, int port, String version, long slots) {
        mStore.put(
                "servers",
                id,
                Json.map(
                        "service", service,
                        "address", "127.0.0.1:" + port,
                        "zone", "zone-a",
                        "version", version,
                        "slots", slots,
                        "state", "ready",
                        "cold_remaining_ms", 0L,
                        "sequence", 1L,
                        "born", System.currentTimeMillis()));
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    void record(String format, Object... arguments) {
        String line = String.format("%8.3f ", seconds()) + String.format(format, arguments);
        synchronized (mRecord) {
            mRecord.println(line);
        }
    }

    /** Records a line and prints it. */
    void say(String format, Object... arguments) {
        record(format, arguments);
        System.out.println(String.format(format, arguments));
    }

    @Override
    public void close() throws IOException {
        mGateways.forEach(Gateway::close);
        mStore.close();
        mRecord.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(mFolder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }
}
