package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a request with two sends that gets two responses or none, and against sends that
 * continue after their call has ended. Three targets answer quickly, except the request with the id
 * {@link #LATE}, whose sends are scripted in the order of their arrival.
 */
final class HedgedCallTest {

    private static final String LATE = "late";
    private static final String DEADLY = "deadly";
    private static final String CALL = "/lookup/x";
    private static final String STREAM = "/relay/x";
    private static final int WARM_UP_REQUESTS = 60;
    private static final int UNHEDGED_REQUESTS = 20;
    private static final int PERCENT = 20;
    private static final ScriptedTarget.Script HOLD =
            (exchange, number) -> exchange.awaitPeerClose();
    private static final ScriptedTarget.Script RESET = (exchange, number) -> exchange.reset();

    private final AtomicInteger mLateSends = new AtomicInteger();
    private final List<ScriptedTarget> mTargets = new ArrayList<>();
    private TestGateway mGateway;

    @AfterEach
    void closeAll() throws IOException {
        mGateway.close();
        for (ScriptedTarget target : mTargets) {
            target.close();
        }
    }

    /** Guards against a slow target that determines the time of the call. */
    @Test
    void theSecondSendWinsAndTheFirstIsCancelled() throws IOException {
        start(PERCENT, CALL, HOLD, answerAfter(1, 200, "second"));
        assertTrue(callLate(CALL).endsWith("second"));
        awaitClosedSends(1);
        assertTrue(logs().contains("\"secondWon\":true"), logs());
        assertFalse(logs().contains("target failed"), logs());
    }

    /** Guards against a second send that delays the first one or is left running. */
    @Test
    void theFirstSendWinsAndTheSecondIsCancelled() throws IOException {
        start(PERCENT, CALL, answerAfter(200, 200, "first"), HOLD);
        assertTrue(callLate(CALL).endsWith("first"));
        awaitClosedSends(1);
        assertTrue(logs().contains("\"secondWon\":false"), logs());
    }

    /** Guards against a call that ends because one of its two sends has failed. */
    @ParameterizedTest
    @ValueSource(strings = {"refused", "reset", "error"})
    void aFailureOfTheSecondSendLeavesTheFirst(String failure) throws IOException {
        start(PERCENT, CALL, answerAfter(300, 200, "first"), failing(1, failure));
        assertTrue(callLate(CALL).endsWith("first"));
        assertEquals(2, mLateSends.get());
        assertTrue(logs().contains("refused".equals(failure) ? "target refused" : "target failed"));
    }

    /** Guards against a retry, or a failed call, while the second send is still running. */
    @ParameterizedTest
    @ValueSource(strings = {"refused", "reset", "error"})
    void aFailureOfTheFirstSendLeavesTheSecond(String failure) throws IOException {
        start(PERCENT, CALL, failing(100, failure), answerAfter(300, 200, "second"));
        assertTrue(callLate(CALL).endsWith("second"));
        assertEquals(2, mLateSends.get());
    }

    /** Guards against a call without a retry after both sends have failed. */
    @ParameterizedTest
    @CsvSource({"reset, reset", "refused, reset", "reset, refused"})
    void afterBothHaveFailedTheRequestIsRetried(String first, String second) throws IOException {
        start(
                PERCENT,
                CALL,
                failing(200, first),
                failing(100, second),
                answerAfter(1, 200, "third"));
        assertTrue(callLate(CALL).endsWith("third"));
        assertEquals(3, mLateSends.get());
        assertTrue(logs().contains("\"hedged\""), logs());
    }

    /** Guards against events of two sends in one stream. */
    @Test
    void theFirstEventDecidesAStream() throws IOException {
        start(
                PERCENT,
                STREAM,
                (exchange, number) -> {
                    exchange.startStream(": working\n\n");
                    exchange.awaitPeerClose();
                },
                (exchange, number) -> {
                    exchange.startStream(event(1, "second"));
                    exchange.pauseMillis(50);
                    exchange.chunk(event(2, "second"));
                    exchange.endStream();
                });
        String answer = callLate(STREAM);
        assertEquals(3, answer.split("second", -1).length, answer);
        assertFalse(answer.contains("working"), answer);
        awaitClosedSends(1);
    }

    /** Guards against a further send of a stream after the caller has events of it. */
    @Test
    void aStreamIsNotHedgedAfterItsFirstEvent() throws IOException {
        CountDownLatch hedgeAvailable = new CountDownLatch(1);
        // One per hundred of the requests so far is less than one second send, so none can be made
        // before the first event, however late that is.
        start(
                1,
                STREAM,
                (exchange, number) -> {
                    exchange.startStream(event(1, "first"));
                    TestGateway.awaitLatch(hedgeAvailable);
                    exchange.pauseMillis(400);
                    exchange.chunk(event(2, "first"));
                    exchange.endStream();
                },
                HOLD,
                (exchange, number) -> {
                    exchange.startStream(event(1, "second"));
                    exchange.endStream();
                });
        try (TestClient client = mGateway.client()) {
            sendLate(client, STREAM);
            assertFalse(client.readUntil("first").contains("<closed>"));
            warmUp("/turn/x", 2 * UNHEDGED_REQUESTS);
            hedgeAvailable.countDown();
            String rest = client.readUntil("\r\n0\r\n\r\n");
            assertTrue(rest.contains("first"), rest);
        }
        assertEquals(1, mLateSends.get());
        assertFalse(logs().contains("\"hedged\""), logs());
        // A stream without an event is hedged now, so the limit did not prevent it above.
        assertTrue(callLate(STREAM).contains("second"));
        assertTrue(logs().contains("\"hedged\""), logs());
    }

    /** Guards against a second send where none is allowed, and with hedging switched off. */
    @ParameterizedTest
    @CsvSource({"20, /unsafe/x", "20, /safe/x", "0, /lookup/x"})
    void oneSendIfHedgingIsNotAllowed(int percent, String path) throws IOException {
        start(percent, path, answerAfter(400, 200, "first"));
        assertTrue(callLate(path).endsWith("first"));
        assertEquals(1, mLateSends.get());
        assertFalse(logs().contains("hedge"), logs());
    }

    /** Guards against sends that continue after their caller has left. */
    @Test
    void bothSendsAreCancelledIfTheCallerLeaves() throws IOException {
        start(PERCENT, CALL, HOLD);
        try (TestClient client = mGateway.client()) {
            sendLate(client, CALL);
            Awaitility.await().until(() -> mLateSends.get() == 2);
        }
        awaitClosedSends(2);
        assertTrue(logs().contains("CANCELLED"), logs());
    }

    /** Guards against sends that continue after the deadline, and against a third send. */
    @Test
    void bothSendsAreCancelledAtTheDeadline() throws IOException {
        // The targets answer other requests, so their silence does not count as a stall.
        start(PERCENT, CALL, HOLD);
        String answer = callLate(CALL);
        assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
        awaitClosedSends(mLateSends.get());
    }

    /** Guards against sends that continue after the process has ended its calls. */
    @Test
    void bothSendsAreCancelledAtTheStop() throws IOException {
        start(PERCENT, CALL, HOLD);
        try (TestClient client = mGateway.client()) {
            sendLate(client, CALL);
            Awaitility.await().until(() -> mLateSends.get() == 2);
            mGateway.host().stop();
            String answer = client.readAnswer();
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        }
        awaitClosedSends(mLateSends.get());
    }

    /** Guards against data of one send that hides the silence of the other one. */
    @Test
    void aStallOfTheFirstSendLeavesTheSecond() throws IOException {
        start(
                PERCENT,
                STREAM,
                HOLD,
                (exchange, number) -> {
                    exchange.startStream();
                    for (int i = 0; i < 4; i++) {
                        exchange.pauseMillis(300);
                        exchange.chunk(": working\n\n");
                    }
                    exchange.chunk(event(1, "second"));
                    exchange.endStream();
                });
        String answer = callLate(STREAM);
        assertTrue(answer.contains("second"), answer);
        assertEquals(2, mLateSends.get());
        assertTrue(logs().contains("target stalled"), logs());
        awaitClosedSends(1);
    }

    /** Guards against a request that crashes two targets at a time. */
    @Test
    void aRequestThatMayCrashTargetsIsNotHedged() throws IOException {
        start(PERCENT, CALL, answerAfter(300, 200, "first"));
        try (TestClient client = mGateway.client()) {
            client.send("POST", "/unsafe/x", DEADLY, "", "x");
            client.readAnswer();
        }
        Awaitility.await().until(() -> logs().contains("\"target down\""));
        assertTrue(callLate("/lookup/other").endsWith("first"));
        assertEquals(1, mLateSends.get());
        assertTrue(logs().contains("crash suspect"), logs());
    }

    /** Guards against a second send with a key that may have been revoked since the first one. */
    @Test
    void aCallWhoseKeyMayHaveBeenRevokedIsNotHedged() throws IOException {
        CountDownLatch denied = new CountDownLatch(1);
        // One per hundred of the requests so far is less than one second send, so the late call
        // waits for it until the confirmation of the configuration is too old. That is after at
        // most 700 ms; after 900 ms, the first send counts as stalled.
        start(
                1,
                OptionalLong.of(800),
                CALL,
                (exchange, number) -> {
                    TestGateway.awaitLatch(denied);
                    exchange.answer(200, "", "first");
                });
        mGateway.configure(2, " alpha key-a");
        try (TestClient client = mGateway.client()) {
            client.send("POST", CALL, LATE, "Key: key-a\r\n", "x");
            Awaitility.await().until(() -> mLateSends.get() == 1);
            mGateway.store().setUnavailable(true);
            Awaitility.await().until(() -> logs().contains("\"reason\":\"caller refused\""));
            denied.countDown();
            String answer = client.readAnswer();
            assertTrue(answer.endsWith("first"), answer + logs());
        }
        assertEquals(1, mLateSends.get());
    }

    // Helpers

    private static String event(int id, String data) {
        return "id: " + id + "\ndata: " + data + "\n\n";
    }

    // A pause of 0 ms would not end.
    private static ScriptedTarget.Script answerAfter(int millis, int status, String body) {
        return (exchange, number) -> {
            exchange.pauseMillis(millis);
            exchange.answer(status, "", body);
        };
    }

    private static ScriptedTarget.Script failing(int millis, String failure) {
        return (exchange, number) -> {
            exchange.pauseMillis(millis);
            switch (failure) {
                case "refused" -> exchange.answer(503, "Not-Executed: 1\r\n", "");
                case "error" -> exchange.answer(500, "", "error");
                default -> RESET.handle(exchange, number);
            }
        };
    }

    private void start(int percent, String path, ScriptedTarget.Script... lateSends)
            throws IOException {
        start(percent, OptionalLong.empty(), path, lateSends);
    }

    private void start(
            int percent,
            OptionalLong revocationMillis,
            String path,
            ScriptedTarget.Script... lateSends)
            throws IOException {
        for (int i = 0; i < 3; i++) {
            mTargets.add(new ScriptedTarget((exchange, number) -> handle(exchange, lateSends)));
        }
        mGateway =
                TestGateway.hedging(
                        percent,
                        revocationMillis,
                        path.equals(STREAM) ? "engine" : "tool",
                        mTargets.toArray(ScriptedTarget[]::new));
        warmUp(path, WARM_UP_REQUESTS);
        // Requests with a single attempt restore the allowance that the others may have used.
        warmUp(path.equals(STREAM) ? "/turn/x" : "/safe/x", UNHEDGED_REQUESTS);
    }

    private void handle(ScriptedTarget.Exchange exchange, ScriptedTarget.Script... lateSends)
            throws IOException {
        if (exchange.id().equals(LATE)) {
            int send = mLateSends.getAndIncrement();
            lateSends[Math.min(send, lateSends.length - 1)].handle(exchange, send);
        } else if (exchange.id().equals(DEADLY)) {
            exchange.target().close();
            exchange.socket().close();
        } else if (exchange.head().contains(STREAM) || exchange.head().contains("/turn/")) {
            exchange.startStream(event(1, "quick"));
            exchange.endStream();
        } else {
            exchange.answer(200, "", "quick");
        }
    }

    private void warmUp(String path, int requests) throws IOException {
        try (TestClient client = mGateway.client()) {
            for (int i = 0; i < requests; i++) {
                client.send("POST", path, "w" + i, "", "x");
                assertTrue(client.readAnswer().contains("quick"));
            }
        }
    }

    private String callLate(String path) throws IOException {
        try (TestClient client = mGateway.client()) {
            sendLate(client, path);
            return client.readAnswer();
        }
    }

    private static void sendLate(TestClient client, String path) throws IOException {
        client.send("POST", path, LATE, "", "x");
    }

    private void awaitClosedSends(int count) {
        Awaitility.await()
                .until(
                        () ->
                                mTargets.stream().mapToInt(t -> t.closedByPeer().size()).sum()
                                        == count);
    }

    private String logs() {
        return mGateway.logs();
    }
}
