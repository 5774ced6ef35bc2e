package org.oleandertrack.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.organisation.CallerIdentity;
import org.oleandertrack.core.organisation.IdScope;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.turn.PromptPart;
import org.oleandertrack.core.turn.TurnRequest;
import org.oleandertrack.http.InboundRequest;

/**
 * Guards against programs and crashing requests of one organisation that affect another one, and
 * against ids that change where there are no organisations.
 */
final class ScopedIdsTest {

    private static final CallMetadata UNSCOPED =
            new CallMetadata(
                    "r",
                    OptionalLong.empty(),
                    Optional.of(new ProgramMetadata("p", "s", OptionalLong.empty())),
                    Optional.of(
                            new TurnMetadata(
                                    10,
                                    5,
                                    List.of(new PromptPart("part", 10)),
                                    OptionalLong.empty(),
                                    OptionalLong.empty())),
                    Optional.of("previous"),
                    Optional.of(new StreamTakeUp(Optional.of("first"), "3")));

    private static CallMetadata of(String organisation) {
        return UNSCOPED.withScope(
                IdScope.of(
                        new CallerIdentity.Member(
                                new Organisation(
                                        organisation,
                                        Set.of(),
                                        OptionalInt.empty(),
                                        Optional.empty()))));
    }

    private static TurnRequest turnOf(CallMetadata metadata) {
        return metadata.turn().orElseThrow().toTurnRequest(metadata.program(), metadata.scope());
    }

    private static InboundRequest request() {
        return new InboundRequest(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x"),
                Unpooled.wrappedBuffer(new byte[] {1, 2}),
                0,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
    }

    @Test
    void withoutOrganisationsAllIdsAreThoseOfTheCaller() {
        assertEquals("r", UNSCOPED.storedRequestId());
        assertEquals(Optional.of("previous"), UNSCOPED.storedPreviousTurnId());
        assertEquals(Optional.of("first"), UNSCOPED.storedFirstRequestId());
        assertEquals(Optional.of("p"), UNSCOPED.storedProgramId());
        assertEquals("p", UNSCOPED.routingKey());
        assertEquals("p", turnOf(UNSCOPED).programId());
        assertEquals(List.of(new PromptPart("part", 10)), turnOf(UNSCOPED).parts());
    }

    @Test
    void idsUnderWhichStateIsKeptDifferBetweenOrganisations() {
        CallMetadata alpha = of("alpha");
        CallMetadata beta = of("beta");
        assertNotEquals(alpha.storedRequestId(), beta.storedRequestId());
        assertNotEquals(alpha.storedPreviousTurnId(), beta.storedPreviousTurnId());
        assertNotEquals(alpha.storedFirstRequestId(), beta.storedFirstRequestId());
        assertNotEquals(alpha.storedProgramId(), beta.storedProgramId());
        assertNotEquals(alpha.routingKey(), beta.routingKey());
        assertNotEquals(turnOf(alpha).programId(), turnOf(beta).programId());
        assertEquals("r", alpha.requestId());
    }

    /** Guards against a cached prompt part that placement hides from other organisations. */
    @Test
    void promptPartsAreSharedBecauseEnginesShareThem() {
        assertEquals(turnOf(of("alpha")).parts(), turnOf(of("beta")).parts());
    }

    /** A turn is found under the id that it had when it was kept. */
    @Test
    void aLaterRequestOfTheSameOrganisationFindsTheId() {
        CallMetadata later =
                new CallMetadata(
                                "r2",
                                OptionalLong.empty(),
                                Optional.empty(),
                                Optional.empty(),
                                Optional.of("r"),
                                Optional.of(new StreamTakeUp(Optional.of("r"), "3")))
                        .withScope(of("alpha").scope());
        String kept = of("alpha").storedRequestId();
        assertEquals(Optional.of(kept), later.storedPreviousTurnId());
        assertEquals(Optional.of(kept), later.storedFirstRequestId());
    }

    @Test
    void aCrashingRequestIsKnownForItsOrganisationOnly() {
        InboundRequest request = request();
        assertNotEquals(
                RequestIdentity.contentKeyOf(request, of("alpha")),
                RequestIdentity.contentKeyOf(request, of("beta")));
        assertNotEquals(
                RequestIdentity.pathOf(request, of("alpha").scope()),
                RequestIdentity.pathOf(request, of("beta").scope()));
        assertEquals("POST /x", RequestIdentity.pathOf(request, IdScope.NONE));
    }
}
