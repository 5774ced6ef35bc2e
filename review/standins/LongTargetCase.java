import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Lookups of different objects, with long queries below the limit on headers. */
final class LongTargetCase {
    private static final int LONG_QUERY_BYTES = 15_000;
    private static final int SHORT_QUERY_BYTES = 100;
    private static final int REQUESTS = 4_500;
    private static final int CLIENTS = 8;
    // Clients stop after this many requests without an answer.
    private static final int ENOUGH_UNANSWERED = 8;
    private static final int SERVERS = 6;
    private static final long WORK_MILLIS = 20;
    private static final long PAUSE_MILLIS = 15_000;
    private static final int LATER_REQUESTS = 6;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int GRACE_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 4_000;

    private final Case mCase;
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mSuccesses = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();

    private LongTargetCase(Case setting) {
        mCase = setting;
    }

    public static void main(String[] args) {
        Case.main(args[0], setting -> new LongTargetCase(setting).run());
    }

    private int run() throws Exception {
        mCase.store()
                .put("op", "config", Config.of(7, Config.plain("lookup", "safe", TIMEOUT_MILLIS)));
        for (int i = 1; i <= SERVERS; i++) {
            Server server = new Server("i-" + i, this::answer);
            mCase.store().put("servers", server.id(), server.entry(Config.APPLICATION, 6));
        }
        mCase.startGateways(1);
        String query = "x".repeat(mCase.trouble() ? LONG_QUERY_BYTES : SHORT_QUERY_BYTES);
        ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
        for (int i = 0; i < CLIENTS; i++) {
            clients.execute(
                    () -> {
                        while (mUnanswered.get() < ENOUGH_UNANSWERED
                                && mRequests.get() < REQUESTS) {
                            lookUp(query);
                        }
                    });
        }
        clients.shutdown();
        clients.awaitTermination(60, TimeUnit.SECONDS);
        mCase.log(summary());

        mCase.log("no request for " + PAUSE_MILLIS / 1_000 + " s, then short ones, one at a time");
        Thread.sleep(PAUSE_MILLIS);
        int unansweredBefore = mUnanswered.get();
        for (int i = 0; i < LATER_REQUESTS; i++) {
            lookUp("x");
        }
        mCase.log(
                "of "
                        + LATER_REQUESTS
                        + " later requests, unanswered: "
                        + (mUnanswered.get() - unansweredBefore));
        mCase.log(
                "process alive "
                        + mCase.gateways().getFirst().isAlive()
                        + ", ready "
                        + mCase.gateways().getFirst().isReady());
        mCase.log(summary());
        if (mSuccesses.get() == 0) {
            return Case.COULD_NOT_RUN;
        }
        return 2 * mUnanswered.get() > mLate.get() ? Case.BROKEN : Case.HELD;
    }

    private String summary() {
        return "requests "
                + mRequests
                + ", successes "
                + mSuccesses
                + ", unanswered at their route's timeout "
                + mLate
                + ", of these without an answer half a second later "
                + mUnanswered;
    }

    private void lookUp(String query) {
        int number = mRequests.incrementAndGet();
        String id = "lookup-" + number;
        Client.Response response =
                new Client(mCase.gateways().getFirst().front())
                        .call(
                                "GET",
                                "/lookup/" + number + "?q=" + query,
                                List.of(
                                        "X-Request-Id: " + id,
                                        "X-Deadline-Milliseconds: " + DEADLINE_MILLIS),
                                new byte[0],
                                DEADLINE_MILLIS,
                                DEADLINE_MILLIS);
        if (response.status() == 200 && response.whole()) {
            mSuccesses.incrementAndGet();
        }
        if (response.millis() > TIMEOUT_MILLIS) {
            mLate.incrementAndGet();
        }
        if (response.millis() > TIMEOUT_MILLIS + GRACE_MILLIS) {
            mUnanswered.incrementAndGet();
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
        Thread.sleep(WORK_MILLIS);
        connection.answer(
                200,
                id,
                "X-Response-Signature: s." + id + "\r\nX-Server-Load: 2,0,6,100\r\n",
                new byte[800]);
    }
}
