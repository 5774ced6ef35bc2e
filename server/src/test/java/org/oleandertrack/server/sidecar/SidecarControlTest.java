package org.oleandertrack.server.sidecar;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.inject.Guice;
import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.protocol.LocalNode;
import org.oleandertrack.protocol.PeerConnection;
import org.oleandertrack.protocol.PeerConnector;
import org.oleandertrack.protocol.ProtocolLimits;
import org.oleandertrack.protocol.ResponseListener;
import org.oleandertrack.protocol.message.AttemptQuery;
import org.oleandertrack.protocol.message.AttemptStatus;
import org.oleandertrack.protocol.message.Call;
import org.oleandertrack.protocol.message.Execution;
import org.oleandertrack.protocol.message.Frame;
import org.oleandertrack.protocol.message.ReleaseMemory;
import org.oleandertrack.protocol.message.ResponseEnd;
import org.oleandertrack.protocol.message.ResponseHead;
import org.oleandertrack.protocol.message.Role;
import org.oleandertrack.server.settings.SettingsLoader;

/** Guards against control frames that a sidecar with its production wiring does not handle. */
final class SidecarControlTest {

    private static final LocalNode ENTRY =
            new LocalNode("entry-1", Role.ROLE_ENTRY, 55, "zone-a", "");
    private static final long WAIT_SECONDS = 60;

    private final LinkedBlockingQueue<AttemptStatus> mStatuses = new LinkedBlockingQueue<>();
    private FakeEngine mEngine;
    private SidecarDaemon mSidecar;
    private PeerConnector mConnector;

    @BeforeEach
    void start() throws Exception {
        mEngine = new FakeEngine();
        mConnector =
                new PeerConnector(
                        ENTRY,
                        ProtocolLimits.defaults(),
                        (peer, frame, reply) -> {
                            if (frame.hasAttemptStatus()) {
                                mStatuses.add(frame.getAttemptStatus());
                            }
                        },
                        System::nanoTime);
    }

    @AfterEach
    void stop() {
        mConnector.stop();
        mSidecar.stop();
        mEngine.close();
    }

    /** Guards against a wrong execution status, and against running an attempt after "not run". */
    @Test
    void attemptQueryIsAnsweredAndRefusesAnAttemptThatHasNotStarted() throws Exception {
        PeerConnection connection = connect("");
        assertEquals(0, runCall(connection, "run", "p", false).getResultCode());
        assertEquals(Execution.EXECUTION_RUN, queryAttempt(connection, "run", 3));
        assertEquals(Execution.EXECUTION_NOT_RUN, queryAttempt(connection, "late", 4));
        ResponseEnd refused = runCall(connection, "late", "p", false);
        assertTrue(refused.getResultCode() != 0, refused::toString);
        assertEquals(Execution.EXECUTION_NOT_RUN, refused.getExecution());
    }

    /** Guards against a release request or a last call that does not free memory in the engine. */
    @Test
    void memoryIsFreedOnRequestAndAfterTheLastCall() throws Exception {
        PeerConnection connection = connect("");
        runCall(connection, "a1", "p", false);
        runCall(connection, "a2", "q", false);
        runCall(connection, "a3", "r", false);
        assertEquals(Map.of("org/p", 10L, "org/q", 10L, "org/r", 10L), mEngine.heldTokens());
        connection.send(releaseFrame("p"));
        runCall(connection, "a4", "q", true);
        await().atMost(WAIT_SECONDS, TimeUnit.SECONDS)
                .until(() -> mEngine.heldTokens().equals(Map.of("org/r", 10L)));
    }

    /** Guards against cache requests to a target that does not support them. */
    @Test
    void targetWithoutCacheReleaseGetsNoCacheRequests() throws Exception {
        PeerConnection connection = connect("releasesCache = false\n");
        runCall(connection, "a1", "p", true);
        connection.send(releaseFrame("p"));
        // Frames are handled in order, so the release request has been handled after this reply.
        queryAttempt(connection, "a1", 1);
        mSidecar.stop();
        assertEquals(List.of(), mEngine.releaseRequests());
        assertEquals(0, mEngine.eventReads());
    }

    private PeerConnection connect(String settings) throws Exception {
        String text =
                """
                node = "host-1"
                zone = "zone-a"
                [http]
                address = "127.0.0.1"
                adminPort = 0
                [peer]
                address = "127.0.0.1"
                port = 0
                [target]
                name = "model-1"
                kind = "model"
                models = ["m"]
                """
                        + "url = \""
                        + mEngine.url()
                        + "\"\n"
                        + settings;
        SidecarModule module = new SidecarModule(SettingsLoader.sidecar().parse(text, "text"));
        mSidecar = Guice.createInjector(module).getInstance(SidecarDaemon.class);
        mSidecar.start();
        return mConnector
                .connect("127.0.0.1", mSidecar.peerPort())
                .get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static ResponseEnd runCall(
            PeerConnection connection, String attempt, String program, boolean endsProgram)
            throws Exception {
        Call head =
                Call.newBuilder()
                        .setAttemptId(attempt)
                        .setOrganisation("org")
                        .setProgram(program)
                        .setEndProgram(endsProgram)
                        .setMethod("POST")
                        .setPath("/v1/chat/completions")
                        .setTimeoutMillis(60_000)
                        .setStartDeadlineReceiverNanos(Long.MAX_VALUE)
                        .build();
        String body = "{\"cache_owner\":\"org/" + program + "\"}";
        CompletableFuture<ResponseEnd> end = new CompletableFuture<>();
        connection.call(head, ByteString.copyFromUtf8(body), new EndListener(end));
        return end.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private Execution queryAttempt(PeerConnection connection, String attempt, long queryId)
            throws InterruptedException {
        AttemptQuery query =
                AttemptQuery.newBuilder().setAttemptId(attempt).setQueryId(queryId).build();
        connection.send(Frame.newBuilder().setAttemptQuery(query).build());
        AttemptStatus status = mStatuses.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(attempt, status.getAttemptId());
        assertEquals(queryId, status.getQueryId());
        return status.getExecution();
    }

    private static Frame releaseFrame(String program) {
        ReleaseMemory request =
                ReleaseMemory.newBuilder().setOrganisation("org").setProgram(program).build();
        return Frame.newBuilder().setReleaseMemory(request).build();
    }

    /** Completes a future when a call ends. */
    private record EndListener(CompletableFuture<ResponseEnd> end) implements ResponseListener {

        @Override
        public void onHead(ResponseHead head) {}

        @Override
        public void onBody(ByteString data) {}

        @Override
        public void onEnd(ResponseEnd responseEnd) {
            end.complete(responseEnd);
        }

        @Override
        public void onConnectionLost(boolean mayHaveArrived) {
            end.completeExceptionally(new AssertionError("the call was lost"));
        }
    }
}
