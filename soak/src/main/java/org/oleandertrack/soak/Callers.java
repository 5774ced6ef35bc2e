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

/** Callers that run programs and orders until they are told to stop. Thread-safe. */
final class Callers {

    private static final int TURN_TOKENS =
            PublishedServer.EVENTS_PER_STREAM * PublishedStore.TOKENS_PER_EVENT;
    private static final long BUDGET_TOKENS = 12L * TURN_TOKENS;
    private static final int TURNS = 16;
    private static final long PAUSE_NANOS = 20_000_000L;

    private final List<Gateway> mGateways;
    private final Promises mPromises;
    private final PublishedClient mCaller = new PublishedClient();
    private final AtomicLong mNextId = new AtomicLong();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopping;

    Callers(List<Gateway> gateways, Promises promises) {
        mGateways = gateways;
        mPromises = promises;
    }

    // Life-cycle

    void start(int count, SplittableRandom random) {
        for (int i = 0; i < count; i++) {
            SplittableRandom own = random.split();
            mThreads.add(Thread.ofVirtual().start(() -> run(own)));
        }
    }

    void stop() throws InterruptedException {
        mStopping = true;
        for (Thread thread : mThreads) {
            thread.join();
        }
    }

    // Operations

    /** Sends a turn of a program of its own to a gateway and returns whether it was served. */
    boolean isServed(Gateway gateway) {
        PublishedClient.Response answer = turn(gateway, "check-" + mNextId.incrementAndGet());
        return answer.complete() && answer.status().equals(Optional.of(200));
    }

    // Helpers

    // The turns of a program arrive at several gateways, and some programs outrun their budget.
    private void run(SplittableRandom random) {
        while (!mStopping) {
            String program = "p" + mNextId.incrementAndGet();
            for (int i = 0; i < TURNS && !mStopping; i++) {
                Gateway gateway = mGateways.get(random.nextInt(mGateways.size()));
                turn(gateway, program);
                order(mGateways.get(random.nextInt(mGateways.size())));
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        }
    }

    private PublishedClient.Response turn(Gateway gateway, String program) {
        PublishedClient.Turn turn = new PublishedClient.Turn(program, BUDGET_TOKENS, TURN_TOKENS);
        return send(gateway, PublishedServer.STREAM_PATH + "x", Optional.of(turn));
    }

    private void order(Gateway gateway) {
        var _ = send(gateway, "/order/x", Optional.empty());
    }

    private PublishedClient.Response send(
            Gateway gateway, String path, Optional<PublishedClient.Turn> turn) {
        String requestId = "r" + mNextId.incrementAndGet();
        mPromises.sent(requestId, turn.isEmpty());
        PublishedClient.Response answer = mCaller.send(gateway.address(), path, requestId, turn);
        mPromises.answered(requestId, turn, answer);
        return answer;
    }
}
