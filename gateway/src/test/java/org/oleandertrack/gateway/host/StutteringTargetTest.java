package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against answers that are not a caller's own, or not whole, if targets answer twice. The
 * properties {@code stutter.first}, {@code stutter.seeds} and {@code stutter.habits} run other
 * seeds, and targets with habits of {@link StutteringTarget.Habit}.
 */
final class StutteringTargetTest {

    private static final int TARGETS_PER_SERVICE = 3;
    private static final int CALLERS = 6;
    private static final long DEFAULT_SEEDS = 4;
    private static final int REQUESTS_PER_CALLER = 30;
    private static final List<String> REQUEST_LINES =
            List.of(
                    "GET /safe/",
                    "HEAD /safe/",
                    "POST /safe/",
                    "POST /unsafe/",
                    "POST /unsafe/",
                    "POST /turn/",
                    "POST /talk/");

    private final Queue<String> mFaults = new ConcurrentLinkedQueue<>();
    private final AnswerLedger mLedger = new AnswerLedger();

    private void call(TestGateway gateway, long seed, int caller) {
        Random random = new Random(seed * CALLERS + caller);
        Optional<TestClient> client = Optional.empty();
        for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
            String line = REQUEST_LINES.get(random.nextInt(REQUEST_LINES.size()));
            String id = "c" + caller + "-" + i;
            try {
                TestClient connection = client.isPresent() ? client.get() : gateway.client();
                String answer = answer(connection, line, id);
                boolean isRepeatable = line.contains("/safe/") || line.contains("/turn/");
                mLedger.findFault(line, id, isRepeatable, answer)
                        .ifPresent(fault -> mFaults.add(line + ": " + fault));
                client = Optional.of(connection);
                if (answer.endsWith("<closed>")) {
                    connection.close();
                    client = Optional.empty();
                }
            } catch (IOException e) {
                mFaults.add(line + ": no end: " + id + " " + mLedger.runsOf(id) + " " + e);
                client = Optional.empty();
            }
        }
        client.ifPresent(StutteringTargetTest::close);
    }

    private static String answer(TestClient connection, String line, String id) throws IOException {
        String method = line.substring(0, line.indexOf(' '));
        String path = line.substring(line.indexOf(' ') + 1);
        connection.send(method, path + id, id, "", method.equals("POST") ? "body of " + id : "");
        return method.equals("HEAD") ? connection.readUntil("\r\n\r\n") : connection.readAnswer();
    }

    private static void close(TestClient client) {
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void run(long seed, Set<StutteringTarget.Habit> habits) throws Exception {
        List<StutteringTarget> targets = new ArrayList<>();
        try (TestGateway gateway = new TestGateway(1_000)) {
            gateway.configure(1);
            for (int i = 0; i < TARGETS_PER_SERVICE; i++) {
                for (String service : List.of("tool", "engine")) {
                    StutteringTarget target = new StutteringTarget(seed, mLedger, habits);
                    targets.add(target);
                    gateway.register(service + i, service, target.scripted().port(), false);
                }
            }
            gateway.awaitTargets(targets.size());
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int caller = i;
                callers.add(
                        Thread.ofVirtual()
                                .uncaughtExceptionHandler(
                                        (thread, failure) -> mFaults.add("caller: " + failure))
                                .start(() -> call(gateway, seed, caller)));
            }
            for (Thread caller : callers) {
                caller.join();
            }
        } finally {
            for (StutteringTarget target : targets) {
                target.close();
            }
        }
        assertEquals(List.of(), List.copyOf(mFaults));
    }

    static LongStream seeds() {
        long first = Long.getLong("stutter.first", 1);
        return LongStream.range(first, first + Long.getLong("stutter.seeds", DEFAULT_SEEDS));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void callersGetTheirOwnWholeAnswers(long seed) throws Exception {
        Set<StutteringTarget.Habit> habits = EnumSet.noneOf(StutteringTarget.Habit.class);
        for (String name : System.getProperty("stutter.habits", "").split(",", -1)) {
            if (!name.isEmpty()) {
                habits.add(StutteringTarget.Habit.valueOf(name));
            }
        }
        run(seed, habits);
    }
}
