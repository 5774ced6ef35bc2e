import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Uploads far below the body limit of the configuration, from 2.1 times as many clients at once. */
final class UploadCase {
    private static final int BODY_BYTES = 200_000;
    private static final int USUAL_CLIENTS = 120;
    private static final double BURST_FACTOR = 2.1;
    private static final long USUAL_MILLIS = 4_000;
    private static final long BURST_MILLIS = 4_000;
    private static final int SERVERS = 28;
    private static final int SLOTS = 6;
    private static final long WORK_MILLIS = 1_500;
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int DEADLINE_MILLIS = 6_000;
    private static final int GRACE_MILLIS = 500;

    private final Case mCase;
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mRuns = new AtomicInteger();
    private final AtomicInteger mSuccesses = new AtomicInteger();
    private final AtomicInteger mFailures = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private final AtomicInteger mNeverAnswered = new AtomicInteger();

    private UploadCase(Case setting) {
        mCase = setting;
    }

    public static void main(String[] args) {
        Case.main(args[0], setting -> new UploadCase(setting).run());
    }

    private int run() throws Exception {
        mCase.store()
                .put(
                        "op",
                        "config",
                        Config.of(7, Config.plain("upload", "unsafe", TIMEOUT_MILLIS)));
        for (int i = 1; i <= SERVERS; i++) {
            Server server = new Server("i-" + i, this::answer);
            mCase.store().put("servers", server.id(), server.entry(Config.APPLICATION, SLOTS));
        }
        mCase.startGateways(1);
        upload(USUAL_CLIENTS, USUAL_MILLIS);
        mCase.log(summary());
        int clients = mCase.trouble() ? (int) (USUAL_CLIENTS * BURST_FACTOR) : USUAL_CLIENTS;
        mCase.log(clients + " clients upload at once");
        upload(clients, BURST_MILLIS);
        mCase.log(summary());
        if (mSuccesses.get() == 0) {
            return Case.COULD_NOT_RUN;
        }
        return 2 * mNeverAnswered.get() > mLate.get() ? Case.BROKEN : Case.HELD;
    }

    private String summary() {
        return "requests "
                + mRequests
                + ", run "
                + mRuns
                + ", successes "
                + mSuccesses
                + ", other answers or closed "
                + mFailures
                + ", unanswered at their route's timeout "
                + mLate
                + ", of these without an answer half a second later "
                + mNeverAnswered;
    }

    private void upload(int clients, long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + millis * 1_000_000;
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        for (int i = 0; i < clients; i++) {
            executor.execute(
                    () -> {
                        while (System.nanoTime() < endNanos) {
                            upload();
                        }
                    });
        }
        executor.shutdown();
        executor.awaitTermination(30, TimeUnit.SECONDS);
    }

    private void upload() {
        String id = "upload-" + mRequests.incrementAndGet();
        Client.Response response =
                new Client(mCase.gateways().getFirst().front())
                        .call(
                                "POST",
                                "/upload/2f",
                                List.of(
                                        "X-Request-Id: " + id,
                                        "X-Deadline-Milliseconds: " + DEADLINE_MILLIS),
                                new byte[BODY_BYTES],
                                DEADLINE_MILLIS,
                                DEADLINE_MILLIS);
        (response.status() == 200 && response.whole() ? mSuccesses : mFailures).incrementAndGet();
        if (response.millis() > TIMEOUT_MILLIS) {
            mLate.incrementAndGet();
        }
        if (response.millis() > TIMEOUT_MILLIS + GRACE_MILLIS) {
            mNeverAnswered.incrementAndGet();
        }
        if (response.status() != 200) {
            mCase.log(
                    "answered "
                            + id
                            + " after "
                            + response.millis()
                            + " ms: "
                            + response.status()
                            + " "
                            + response.failure());
        }
    }

    private void answer(Server server, Http.Head head, byte[] body, Server.Connection connection)
            throws IOException, InterruptedException {
        String id = head.field("X-Request-Id").orElse("");
        mRuns.incrementAndGet();
        Thread.sleep(WORK_MILLIS);
        connection.answer(
                200,
                id,
                "X-Response-Signature: s." + id + "\r\nX-Server-Load: 6,0,6,100\r\n",
                new byte[800]);
    }
}
