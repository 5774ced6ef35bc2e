package org.oleandertrack.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.oleandertrack.standins.published.PublishedClient;
import org.oleandertrack.standins.published.PublishedServer;
import org.oleandertrack.standins.published.PublishedStore;

/**
 * Concurrent callers that send requests until they are stopped: turns of programs, whose responses
 * are streams and are taken up again if they break off, orders, which must not run more than once,
 * and lookups, which may. Thread-safe.
 */
final class Callers {

    private static final int TURN_TOKENS =
            PublishedServer.EVENTS_PER_STREAM * PublishedStore.TOKENS_PER_EVENT;
    private static final long BUDGET_TOKENS = 12L * TURN_TOKENS;
    private static final int TURNS_PER_PROGRAM = 16;
    // One turn in so many names a turn that never existed.
    private static final int FORGED_TURN_PERIOD = 30;
    private static final long PAUSE_AFTER_TURN_NANOS = 20_000_000L;
    private static final int MAX_TAKE_UPS = 2;
    private static final long PAUSE_BEFORE_TAKE_UP_NANOS = 100_000_000L;
    private static final String EVENT_END = "\n\n";

    private final List<Gateway> mGateways;
    private final GuaranteeChecker mGuarantees;
    private final PublishedClient mClient = new PublishedClient();
    private final AtomicLong mNextId = new AtomicLong();
    private final Paths mPaths = new Paths();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopping;

    Callers(List<Gateway> gateways, GuaranteeChecker guarantees) {
        mGateways = gateways;
        mGuarantees = guarantees;
    }

    // Life-cycle

    void start(int count, SplittableRandom random) {
        for (int i = 0; i < count; i++) {
            SplittableRandom callerRandom = random.split();
            mThreads.add(Thread.ofVirtual().start(() -> run(callerRandom)));
        }
    }

    void stop() throws InterruptedException {
        mStopping = true;
        for (Thread thread : mThreads) {
            thread.join();
        }
    }

    // Operations

    /** Sends the first turn of a new program to a gateway and returns whether it succeeded. */
    boolean sendCheckTurn(Gateway gateway) {
        String program = "check-" + mNextId.incrementAndGet();
        return sendTurn(() -> gateway, program, Optional.empty()).isPresent();
    }

    // Helpers

    // Spreads the turns of each program over the gateways, with an order and a lookup after each
    // turn. Each turn
    // continues the last one that was answered whole; some name a turn that never existed. A
    // program
    // sends more turns than its budget covers, so that refusals for lack of budget occur too.
    private void run(SplittableRandom random) {
        while (!mStopping) {
            String program = "p" + mNextId.incrementAndGet();
            Optional<String> previous = Optional.empty();
            for (int i = 0; i < TURNS_PER_PROGRAM && !mStopping; i++) {
                Supplier<Gateway> anyGateway =
                        () -> mGateways.get(random.nextInt(mGateways.size()));
                if (random.nextInt(FORGED_TURN_PERIOD) == 0) {
                    sendTurn(anyGateway, program, Optional.of(GuaranteeChecker.FORGED_TURN_ID));
                }
                previous = sendTurn(anyGateway, program, previous).or(previousTurn(previous));
                sendOrder(anyGateway.get());
                sendLookup(anyGateway.get());
                LockSupport.parkNanos(PAUSE_AFTER_TURN_NANOS);
            }
        }
    }

    private static Supplier<Optional<String>> previousTurn(Optional<String> previous) {
        return () -> previous;
    }

    /**
     * Sends a turn, and takes up its stream again at another gateway if it breaks off. Returns the
     * id of the request that was answered whole.
     */
    private Optional<String> sendTurn(
            Supplier<Gateway> gateways, String program, Optional<String> previousTurnId) {
        PublishedClient.Turn turn =
                new PublishedClient.Turn(program, BUDGET_TOKENS, TURN_TOKENS, previousTurnId);
        String streamId = nextRequestId();
        String path = mPaths.next("/turn/", "/relay/");
        String requestId = streamId;
        String events = "";
        for (int i = 0; i <= MAX_TAKE_UPS; i++) {
            PublishedClient.Response response =
                    send(gateways.get(), path, requestId, Optional.of(turn), streamId, events);
            boolean served = response.status().equals(Optional.of(200));
            if (served && response.complete()) {
                return Optional.of(requestId);
            }
            events += served ? wholeEvents(response.body()) : "";
            if (events.isEmpty()) {
                return Optional.empty();
            }
            requestId = nextRequestId();
            LockSupport.parkNanos(PAUSE_BEFORE_TAKE_UP_NANOS);
        }
        return Optional.empty();
    }

    private void sendOrder(Gateway gateway) {
        String requestId = nextRequestId();
        String path = mPaths.next("/order/");
        var _ = send(gateway, path, requestId, Optional.empty(), requestId, "");
    }

    private void sendLookup(Gateway gateway) {
        String requestId = nextRequestId();
        String path = mPaths.next("/lookup/");
        var _ = send(gateway, path, requestId, Optional.empty(), requestId, "");
    }

    private PublishedClient.Response send(
            Gateway gateway,
            String path,
            String requestId,
            Optional<PublishedClient.Turn> turn,
            String streamId,
            String earlierEvents) {
        Optional<PublishedClient.TakeUp> takeUp =
                earlierEvents.isEmpty()
                        ? Optional.empty()
                        : Optional.of(
                                new PublishedClient.TakeUp(streamId, countEvents(earlierEvents)));
        var call = new GuaranteeChecker.Call(requestId, path, turn, streamId, earlierEvents);
        mGuarantees.recordRequest(call);
        long sentNanos = System.nanoTime();
        PublishedClient.Response response =
                mClient.send(gateway.address(), path, requestId, turn, takeUp);
        mGuarantees.recordResponse(call, response);
        mGuarantees.checkTime(call, gateway, sentNanos, response);
        return response;
    }

    private String nextRequestId() {
        return "r" + mNextId.incrementAndGet();
    }

    private static String wholeEvents(String body) {
        int end = body.lastIndexOf(EVENT_END);
        return end < 0 ? "" : body.substring(0, end + EVENT_END.length());
    }

    private static int countEvents(String events) {
        return events.split(EVENT_END, -1).length - 1;
    }
}
