package org.oleandertrack.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
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
        PublishedClient.Response response = sendTurn(gateway, "check-" + mNextId.incrementAndGet());
        return response.complete() && response.status().equals(Optional.of(200));
    }

    // Helpers

    // Spreads the turns of each program over the gateways, with an order after each turn. A program
    // sends more turns than its budget covers, so that refusals for lack of budget occur too.
    private void run(SplittableRandom random) {
        while (!mStopping) {
            String program = "p" + mNextId.incrementAndGet();
            for (int i = 0; i < TURNS_PER_PROGRAM && !mStopping; i++) {
                Gateway gateway = mGateways.get(random.nextInt(mGateways.size()));
                sendTurn(gateway, program);
                sendOrder(mGateways.get(random.nextInt(mGateways.size())));
                LockSupport.parkNanos(PAUSE_AFTER_TURN_NANOS);
            }
        }
    }

    private PublishedClient.Response sendTurn(Gateway gateway, String program) {
        PublishedClient.Turn turn = new PublishedClient.Turn(program, BUDGET_TOKENS, TURN_TOKENS);
        return send(gateway, PublishedServer.STREAM_PATH + "x", Optional.of(turn));
    }

    private void sendOrder(Gateway gateway) {
        var _ = send(gateway, "/order/x", Optional.empty());
    }

    private PublishedClient.Response send(
            Gateway gateway, String path, Optional<PublishedClient.Turn> turn) {
        String requestId = "r" + mNextId.incrementAndGet();
        mGuarantees.recordRequest(requestId, turn.isEmpty());
        PublishedClient.Response response = mClient.send(gateway.address(), path, requestId, turn);
        mGuarantees.recordResponse(requestId, turn, response);
        return response;
    }
}
