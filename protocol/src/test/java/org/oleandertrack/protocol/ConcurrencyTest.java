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
import org.oleandertrack.protocol.Peers.RecordedResponse;
import org.oleandertrack.protocol.message.ResponseHead;

/** Concurrent calls from several threads over shared connections. */
final class ConcurrencyTest {

    private static final int THREADS = 8;
    private static final int CALLS_PER_THREAD = 500;
    private static final int MAX_OPEN_CALLS_PER_THREAD = 16;
    private static final int MAX_BODY_BYTES = 100_000;

    private final Peers mPeers = new Peers();
    private final ExecutorService mWorkers = Executors.newFixedThreadPool(THREADS);

    @AfterEach
    void stop() {
        mWorkers.shutdownNow();
        mPeers.close();
    }

    /** An open call and the path and body that its response must carry. */
    private record Expected(String mPath, ByteString mBody, RecordedResponse mResponse) {}

    /**
     * Guards against responses that reach the wrong caller, are mixed up or get lost under load
     * (invariants I2 and I5).
     */
    @Test
    void everyCallReceivesItsOwnResponse() throws Exception {
        long seed = System.nanoTime();
        System.out.println("ConcurrencyTest seed = " + seed);
        PeerServer server = mPeers.server(call -> mWorkers.execute(() -> respondInParts(call)));
        PeerConnector connector = mPeers.connector(Peers.WITHOUT_TIMERS, System::nanoTime);
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

    /** Echoes a body in parts, each of which is sent from any of the worker threads. */
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
            boolean isLarge = random.nextInt(50) == 0;
            byte[] bytes = new byte[random.nextInt(isLarge ? MAX_BODY_BYTES : 200)];
            random.nextBytes(bytes);
            String path = "/" + thread + "/" + i;
            ByteString body = ByteString.copyFrom(bytes);
            PeerConnection connection = connections.get(random.nextInt(connections.size()));
            open.add(
                    new Expected(
                            path, body, RecordedResponse.of(connection, Peers.head(path), body)));
            if (random.nextInt(10) == 0) {
                // Cancelled calls must not affect the other calls.
                RecordedResponse.of(connection, Peers.head("/cancelled"), body).cancelWhenStarted();
            }
            if (open.size() == MAX_OPEN_CALLS_PER_THREAD) {
                assertResponse(open.remove(random.nextInt(open.size())));
            }
        }
        for (Expected expected : open) {
            assertResponse(expected);
        }
    }

    private static void assertResponse(Expected expected) throws Exception {
        RecordedResponse response = expected.mResponse();
        assertEquals(expected.mPath(), Peers.await(response.mEnd).getMessage());
        assertTrue(response.mHead.isDone(), "the call ended without a head");
        assertEquals(expected.mBody(), response.body());
    }

    /**
     * Guards against frames of a call that are written in another order than they were submitted.
     */
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
            RecordedResponse response = RecordedResponse.of(connection, Peers.head("/" + i), body);
            ends.add(
                    response.mEnd.thenAccept(
                            end -> {
                                if (!response.mHead.isDone() || !response.body().equals(body)) {
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
