import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A case: a store, servers and gateways, and a record of what was sent, answered and run. */
final class Case {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    /** The part of a case that differs from the others. */
    interface Body {
        /** Returns {@link #BROKEN} or {@link #HELD}. */
        int run(Case setting) throws Exception;
    }

    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mRecord;
    private final Path mFolder;
    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Store mStore;
    private final List<Gateway> mGateways = new ArrayList<>();

    private Case(Path record) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(record));
        mFolder = Files.createTempDirectory("review");
        mStore = new Store();
    }

    /** Runs a case and exits with its result. */
    static void main(String recordFile, Body body) {
        int result = COULD_NOT_RUN;
        try {
            Case setting = new Case(Path.of(recordFile));
            try {
                result = body.run(setting);
            } catch (Exception e) {
                setting.log("could not run: " + e);
                e.printStackTrace();
            } finally {
                setting.log("result " + result);
                setting.close();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    boolean trouble() {
        return mTrouble;
    }

    Store store() {
        return mStore;
    }

    List<Gateway> gateways() {
        return mGateways;
    }

    synchronized void log(String text) {
        mRecord.printf("%8.3f %s%n", (System.nanoTime() - mStartNanos) / 1e9, text);
        mRecord.flush();
    }

    /** Starts gateways and waits until they are ready. The store must have its first rows. */
    void startGateways(int count) throws IOException, InterruptedException {
        for (int i = 1; i <= count; i++) {
            mGateways.add(new Gateway("front-zone-a-" + i, mFolder));
        }
        for (Gateway gateway : mGateways) {
            start(gateway);
        }
        for (Gateway gateway : mGateways) {
            gateway.awaitReady();
        }
        log(count + " gateways are ready");
    }

    void start(Gateway gateway) throws IOException {
        gateway.start(mStore, mGateways.stream().limit(3).map(Gateway::controlAddress).toList());
    }

    /** Returns the lines of all gateways' logs that contain a text. */
    List<String> gatewayLines(String text) throws IOException {
        List<String> lines = new ArrayList<>();
        for (Gateway gateway : mGateways) {
            try (Stream<String> log = Files.lines(gateway.logFile())) {
                log.filter(line -> line.contains(text))
                        .forEach(line -> lines.add(gateway.name() + " " + line));
            }
        }
        return lines;
    }

    private void close() throws Exception {
        for (Gateway gateway : mGateways) {
            gateway.kill();
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
        mRecord.close();
    }
}
