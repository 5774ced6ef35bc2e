package org.oleandertrack.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.protocol.Peers.Answer;
import org.oleandertrack.protocol.message.ResponseHead;

/** Many calls at a time, from many threads, over shared connections. */
final class ConcurrencyTest {

    private static final int THREADS = 8;
    private static final int CALLS_PER_THREAD = 500;
    private static final int IN_FLIGHT = 16;
    private static final int LARGEST_BODY_BYTES = 100_000;

    private final Peers mPeers = new Peers();
    private final ExecutorService mWorkers = Executors.newFixedThreadPool(THREADS);

    @AfterEach
    void stop() {
        mWorkers.shutdownNow();
        mPeers.close();
    }

    /** A call under way and what its answer must be. */
    private record Expected(String mPath, ByteString mBody, Answer mAnswer) {}

    /** Guards against answers that reach another caller, mix, or get lost under load (I2, I5). */
    @Test
    void answersNeverMix() throws Exception {
        long seed = System.nanoTime();
        System.out.println("ConcurrencyTest seed = " + seed);
        PeerServer server = mPeers.server(call -> mWorkers.execute(() -> respondInParts(call)));
        PeerConnector connector = mPeers.connector(Peers.QUIET, System::nanoTime);
        List<PeerConnection> connections = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            connections.add(Peers.await(connector.connect(Peers.LOOPBACK, server.port())));
        }
        List<Callable<Void>> callers = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            int thread = i;
            callers.add(
                    () -> {
                        makeCalls(thread, new Random(seed + thread), connections);
                        return null;
                    });
        }
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            for (Future<Void> done : threads.invokeAll(callers)) {
                done.get(Peers.WAIT_SECONDS, TimeUnit.SECONDS);
            }
        } finally {
            threads.shutdownNow();
        }
        Peers.eventually(() -> server.unsentBytes() == 0);
    }

    /** Echoes a body in parts from whatever threads the futures complete on. */
    private void respondInParts(InboundCall call) {
        call.respondHead(ResponseHead.newBuilder().setStatus(200).build());
        respondFrom(call, 0);
    }

    private void respondFrom(InboundCall call, int from) {
        if (from == call.body().size()) {
            call.respondEnd(Peers.success().toBuilder().setMessage(call.head().getPath()).build());
            return;
        }
        int to = Math.min(call.body().size(), from + 1 + call.body().size() / 3);
        var _ =
                call.respondBody(call.body().substring(from, to))
                        .thenRunAsync(() -> respondFrom(call, to), mWorkers);
    }

    private static void makeCalls(int thread, Random random, List<PeerConnection> connections)
            throws Exception {
        List<Expected> open = new ArrayList<>();
        for (int i = 0; i < CALLS_PER_THREAD; i++) {
            boolean large = random.nextInt(50) == 0;
            byte[] bytes = new byte[random.nextInt(large ? LARGEST_BODY_BYTES : 200)];
            random.nextBytes(bytes);
            String path = "/" + thread + "/" + i;
            ByteString body = ByteString.copyFrom(bytes);
            PeerConnection connection = connections.get(random.nextInt(connections.size()));
            open.add(new Expected(path, body, Answer.of(connection, Peers.head(path), body)));
            if (random.nextInt(10) == 0) {
                // Calls that are cancelled in between must not disturb the others.
                Answer.of(connection, Peers.head("/cancelled"), body).cancelWhenStarted();
            }
            if (open.size() == IN_FLIGHT) {
                check(open.remove(random.nextInt(open.size())));
            }
        }
        for (Expected expected : open) {
            check(expected);
        }
    }

    private static void check(Expected expected) throws Exception {
        Answer answer = expected.mAnswer();
        assertEquals(expected.mPath(), Peers.await(answer.mEnd).getMessage());
        assertTrue(answer.mHead.isDone(), "the end came without a head");
        assertEquals(expected.mBody(), answer.body());
    }

    /** Guards against frames of one thread overtaking each other on their way to the socket. */
    @Test
    void operationsOfOneCallKeepTheirOrder() throws Exception {
        PeerServer server =
                mPeers.server(
                        call ->
                                mWorkers.execute(
                                        () -> {
                                            call.respondHead(ResponseHead.getDefaultInstance());
                                            var _ = call.respondBody(call.body());
                                            call.respondEnd(Peers.success());
                                        }));
        PeerConnection connection = mPeers.connect(server.port());
        Set<String> wrong = ConcurrentHashMap.newKeySet();
        List<CompletableFuture<?>> ends = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            ByteString body = ByteString.copyFromUtf8("body " + i);
            Answer answer = Answer.of(connection, Peers.head("/" + i), body);
            ends.add(
                    answer.mEnd.thenAccept(
                            end -> {
                                if (!answer.mHead.isDone() || !answer.body().equals(body)) {
                                    wrong.add(body.toStringUtf8());
                                }
                            }));
        }
        for (CompletableFuture<?> end : ends) {
            Peers.await(end);
        }
        assertEquals(Set.of(), wrong);
    }
}
