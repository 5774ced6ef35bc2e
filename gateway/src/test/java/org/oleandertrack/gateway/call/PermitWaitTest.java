package org.oleandertrack.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.gateway.call.OrganisationLimiter.Admission;
import org.oleandertrack.http.ResponseWriter;

/** Guards against callers that wait for a permit too long, and against permits that are lost. */
final class PermitWaitTest {

    private static final Admission.Admitted PERMIT = new Admission.Admitted("issuer");

    private final EventLoop mLoop = new DefaultEventLoop();
    private final CompletableFuture<Admission> mAdmission = new CompletableFuture<>();
    private final List<Admission.Admitted> mGivenBack = new CopyOnWriteArrayList<>();
    private final List<PermitWait.Result> mResults = new CopyOnWriteArrayList<>();
    private final List<ResponseWriter.Listener> mListeners = new ArrayList<>();

    private final OrganisationLimiter mLimiter =
            new OrganisationLimiter() {
                @Override
                public CompletableFuture<Admission> admit(Request request) {
                    return mAdmission;
                }

                @Override
                public void giveBack(Request request, Admission.Admitted permit) {
                    mGivenBack.add(permit);
                }
            };

    /** A connection of which only the events are used. */
    private final class FakeWriter implements ResponseWriter {

        @Override
        public void setListener(Listener listener) {
            mListeners.add(listener);
        }

        @Override
        public void respond(FullHttpResponse response) {}

        @Override
        public void start(HttpResponse head) {}

        @Override
        public void write(ByteBuf part) {}

        @Override
        public void end() {}

        @Override
        public void abort() {}

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public EventLoop eventLoop() {
            return mLoop;
        }
    }

    @AfterEach
    void stopLoop() {
        var _ = mLoop.shutdownGracefully();
    }

    private void start(long remainingMillis) {
        Organisation organisation =
                new Organisation("o", Set.of(), OptionalInt.empty(), Optional.empty());
        OrganisationLimiter.Request request =
                new OrganisationLimiter.Request(organisation, 1, Optional.empty(), remainingMillis);
        onLoop(() -> new PermitWait(mLimiter, request, new FakeWriter(), mResults::add).start());
    }

    private void onLoop(Runnable task) {
        mLoop.submit(task).syncUninterruptibly();
    }

    @Test
    void aPermitThatIsReadyIsTakenWithoutAWait() {
        mAdmission.complete(PERMIT);
        start(1_000);
        assertEquals(List.of(new PermitWait.Result.Permitted(PERMIT)), mResults);
        assertTrue(mListeners.isEmpty());
    }

    @Test
    void aRefusalThatArrivesLaterIsPassedOn() {
        start(1_000);
        Admission.Refused refusal =
                new Admission.Refused(ResultCode.ORGANISATION_RATE_EXCEEDED, 40, "over the limit");
        mAdmission.complete(refusal);
        Awaitility.await().until(() -> !mResults.isEmpty());
        assertEquals(List.of(new PermitWait.Result.Refused(refusal)), mResults);
    }

    @Test
    void aPermitForACallerThatHasLeftIsGivenBack() {
        start(1_000);
        onLoop(() -> mListeners.getFirst().onClosed());
        mAdmission.complete(PERMIT);
        Awaitility.await().until(() -> mGivenBack.equals(List.of(PERMIT)));
        assertTrue(mResults.isEmpty());
    }

    @Test
    void aWaitEndsAtTheCallersDeadline() {
        start(30);
        Awaitility.await().until(() -> !mResults.isEmpty());
        assertInstanceOf(PermitWait.Result.Expired.class, mResults.getFirst());
        mAdmission.complete(PERMIT);
        Awaitility.await().until(() -> mGivenBack.equals(List.of(PERMIT)));
        assertEquals(1, mResults.size());
    }

    @Test
    void aWaitEndsWhenTheProcessStops() {
        start(1_000);
        onLoop(() -> mListeners.getFirst().onShutdown());
        assertInstanceOf(PermitWait.Result.Stopping.class, mResults.getFirst());
    }
}
