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
 * are streams, and orders, which must not run more than once. Thread-safe.
 */
final class Callers {

    private static final int TURN_TOKENS =
            PublishedServer.EVENTS_PER_STREAM * PublishedStore.TOKENS_PER_EVENT;
    private static final long BUDGET_TOKENS = 12L * TURN_TOKENS;
    private static final int TURNS_PER_PROGRAM = 16;
    // One turn in so many names a turn that never existed.
    private static final int FORGED_TURN_PERIOD = 30;
    private static final long PAUSE_AFTER_TURN_NANOS = 20_000_000L;

    private final List<Gateway> mGateways;
    private final GuaranteeChecker mGuarantees;
    private final PublishedClient mClient = new PublishedClient();
    private final AtomicLong mNextId = new AtomicLong();
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
        return sendTurn(gateway, program, Optional.empty()).isPresent();
    }

    // Helpers

    // Spreads the turns of each program over the gateways, with an order after each turn. Each turn
    // continues the last one that was answered whole; some name a turn that never existed. A
    // program
    // sends more turns than its budget covers, so that refusals for lack of budget occur too.
    private void run(SplittableRandom random) {
        while (!mStopping) {
            String program = "p" + mNextId.incrementAndGet();
            Optional<String> previous = Optional.empty();
            for (int i = 0; i < TURNS_PER_PROGRAM && !mStopping; i++) {
                Gateway gateway = mGateways.get(random.nextInt(mGateways.size()));
                if (random.nextInt(FORGED_TURN_PERIOD) == 0) {
                    sendTurn(gateway, program, Optional.of(GuaranteeChecker.FORGED_TURN_ID));
                }
                previous = sendTurn(gateway, program, previous).or(previousTurn(previous));
                sendOrder(mGateways.get(random.nextInt(mGateways.size())));
                LockSupport.parkNanos(PAUSE_AFTER_TURN_NANOS);
            }
        }
    }

    private static Supplier<Optional<String>> previousTurn(Optional<String> previous) {
        return () -> previous;
    }

    /** Returns the id of the turn if it was answered whole. */
    private Optional<String> sendTurn(
            Gateway gateway, String program, Optional<String> previousTurnId) {
        String requestId = "r" + mNextId.incrementAndGet();
        PublishedClient.Turn turn =
                new PublishedClient.Turn(program, BUDGET_TOKENS, TURN_TOKENS, previousTurnId);
        PublishedClient.Response response =
                send(gateway, PublishedServer.STREAM_PATH + "x", requestId, Optional.of(turn));
        boolean whole = response.complete() && response.status().equals(Optional.of(200));
        return whole ? Optional.of(requestId) : Optional.empty();
    }

    private void sendOrder(Gateway gateway) {
        var _ = send(gateway, "/order/x", "r" + mNextId.incrementAndGet(), Optional.empty());
    }

    private PublishedClient.Response send(
            Gateway gateway, String path, String requestId, Optional<PublishedClient.Turn> turn) {
        mGuarantees.recordRequest(requestId, turn);
        PublishedClient.Response response = mClient.send(gateway.address(), path, requestId, turn);
        mGuarantees.recordResponse(requestId, turn, response);
        return response;
    }
}
