package org.oleandertrack.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.organisation.ConfigFreshness;
import org.oleandertrack.core.organisation.KeyAdmission;
import org.oleandertrack.core.organisation.KeyDigest;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.organisation.OrganisationDirectory;
import org.oleandertrack.core.organisation.RevocationBound;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.core.result.ResultCode;
import org.oleandertrack.core.result.ResultException;
import org.oleandertrack.core.traffic.CallerLimits;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.RouteShare;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.http.InboundRequest;
import org.oleandertrack.http.ResponseWriter;

/** Guards against calls that are sent with a key whose validity is not certain any more. */
final class CallerAdmissionTest {

    private static final Organisation ORGANISATION =
            new Organisation(
                    "o", Set.of(KeyDigest.ofKey("k")), OptionalInt.of(3), Optional.empty());

    private final EventLoop mLoop = new DefaultEventLoop();
    private final List<OrganisationLimiter.Admission.Admitted> mGivenBack = new ArrayList<>();
    private final List<OrganisationLimiter.Request> mRequests = new ArrayList<>();
    private OrganisationLimiter.Admission mDecision =
            new OrganisationLimiter.Admission.Admitted("issuer");
    private long mNowMillis;
    private final ConfigFreshness mFreshness =
            new ConfigFreshness(() -> TimeUnit.MILLISECONDS.toNanos(mNowMillis), () -> mNowMillis);

    private final OrganisationLimiter mLimiter =
            new OrganisationLimiter() {
                @Override
                public CompletableFuture<Admission> admit(Request request) {
                    mRequests.add(request);
                    return CompletableFuture.completedFuture(mDecision);
                }

                @Override
                public void giveBack(Request request, Admission.Admitted permit) {
                    mGivenBack.add(permit);
                }
            };

    private final CallerAdmission mAdmission =
            new CallerAdmission(
                    fake(
                            HeaderCodec.class,
                            Map.of("readAccessKey", Optional.of(KeyDigest.ofKey("k")))),
                    new KeyAdmission(Optional.of(new RevocationBound(5_000))),
                    mFreshness,
                    mLimiter);

    private static <T> T fake(Class<T> type, Map<String, Object> results) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (proxy, method, arguments) -> results.get(method.getName())));
    }

    @AfterEach
    void stopLoop() {
        var _ = mLoop.shutdownGracefully();
    }

    private CallerAdmission.Result admit(boolean anonymousRoute, OrganisationDirectory directory)
            throws Exception {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.SAFE,
                        1_500,
                        100,
                        0,
                        1,
                        false,
                        0,
                        false,
                        0,
                        anonymousRoute,
                        List.of(new RouteShare("s", 1)));
        CallerAdmission.Arrival arrival =
                new CallerAdmission.Arrival(
                        new InboundRequest(
                                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"),
                                Unpooled.EMPTY_BUFFER,
                                System.nanoTime(),
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1)),
                        fake(ResponseWriter.class, Map.of("eventLoop", mLoop)),
                        new CallMetadata(
                                "id",
                                OptionalLong.empty(),
                                Optional.of(new ProgramMetadata("p", "", OptionalLong.empty())),
                                Optional.empty(),
                                Optional.empty(),
                                Optional.empty()),
                        new TrafficConfig(
                                8, List.of(route), Map.of(), CallerLimits.DEFAULT, directory),
                        route,
                        mAdmission.ageMillis());
        List<CallerAdmission.Result> results = new ArrayList<>();
        mLoop.submit(() -> mAdmission.admit(arrival, results::add)).sync();
        return results.getFirst();
    }

    private CallerAdmission.Result admit(boolean anonymousRoute) throws Exception {
        return admit(
                anonymousRoute, new OrganisationDirectory(true, List.of(ORGANISATION), List.of()));
    }

    private static CallerAdmission.Result.Admitted admitted(CallerAdmission.Result result) {
        return assertInstanceOf(CallerAdmission.Result.Admitted.class, result);
    }

    @Test
    void aCallThatWaitsIsRefusedOnceTheKnowledgeIsTooOld() throws Exception {
        mFreshness.confirm(mFreshness.now());
        mNowMillis = 4_800;
        AdmittedCaller caller = admitted(admit(false)).caller();
        assertTrue(caller.refusal().get().isEmpty());
        mNowMillis = 4_900;
        ResultException refusal = caller.refusal().get().orElseThrow();
        assertEquals(ResultCode.ACCESS_KEYS_NOT_CURRENT, refusal.code());
        assertEquals(Execution.NOT_RUN, refusal.execution());
        mFreshness.confirm(mFreshness.now());
        assertTrue(caller.refusal().get().isEmpty());
    }

    @Test
    void anAnonymousRouteIsNotAffectedByOldKnowledge() throws Exception {
        mFreshness.confirm(mFreshness.now());
        AdmittedCaller caller = admitted(admit(true)).caller();
        mNowMillis = 60_000;
        assertTrue(caller.refusal().get().isEmpty());
        assertTrue(admitted(admit(true)).caller().refusal().get().isEmpty());
    }

    @Test
    void thePriorityOfTheOrganisationTakesPrecedence() throws Exception {
        mFreshness.confirm(mFreshness.now());
        assertEquals(3, admitted(admit(false)).route().priority());
        OrganisationLimiter.Request request = mRequests.getFirst();
        assertEquals(Optional.of("p"), request.programId());
        assertEquals(8, request.configVersion());
    }

    /** Guards against permits that are lost, and against ones that are given back after a run. */
    @Test
    void onlyThePermitOfACallThatHasNotRunIsGivenBack() throws Exception {
        mFreshness.confirm(mFreshness.now());
        AdmittedCaller caller = admitted(admit(false)).caller();
        caller.onFailure(CallFailures.noResponse());
        assertTrue(mGivenBack.isEmpty());
        caller.onFailure(CallFailures.overloaded());
        assertEquals(1, mGivenBack.size());
    }

    @Test
    void aRefusalOfTheLimitStatesAtMostAThirdOfTheRemainingTime() throws Exception {
        mFreshness.confirm(mFreshness.now());
        mDecision =
                new OrganisationLimiter.Admission.Refused(
                        ResultCode.ORGANISATION_RATE_EXCEEDED, 9_000, "over the limit");
        CallerAdmission.Result.Refused refused =
                assertInstanceOf(CallerAdmission.Result.Refused.class, admit(false));
        assertEquals(ResultCode.ORGANISATION_RATE_EXCEEDED, refused.failure().code());
        assertTrue(refused.failure().retryAfterMillis().orElseThrow() <= 500);
        assertEquals(Optional.of(ORGANISATION), refused.organisation());
    }

    @Test
    void withoutOrganisationsTheLimiterIsNotAsked() throws Exception {
        admitted(admit(false, OrganisationDirectory.EMPTY));
        assertTrue(mRequests.isEmpty());
    }
}
