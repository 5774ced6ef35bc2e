package org.oleandertrack.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.organisation.OrganisationDirectory;
import org.oleandertrack.core.traffic.CallerLimits;
import org.oleandertrack.core.traffic.RequestKind;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.RouteShare;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.core.turn.UrgencyPolicy;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Guards against ranks where the configuration asks for none, and against a wrong slack. */
final class TurnUrgencyTest {

    private static final TrafficConfig CONFIG =
            new TrafficConfig(
                    1, List.of(), Map.of(), CallerLimits.DEFAULT, OrganisationDirectory.EMPTY);
    private static final Route ROUTE =
            new Route(
                    "turn",
                    "host",
                    "/",
                    RequestKind.STREAMING,
                    1_500,
                    200,
                    1,
                    1,
                    true,
                    300,
                    false,
                    60_000,
                    false,
                    List.of(new RouteShare("engine", 1)));

    private static TurnUrgency urgency(boolean enabled) {
        return new TurnUrgency(
                config -> enabled,
                new EventLog(line -> {}, Clock.systemUTC(), 1_000),
                new CallMetrics(new MetricsRegistry()));
    }

    private static OptionalInt rank(TurnUrgency urgency, boolean turn, long remainingMillis) {
        CallMetadata metadata =
                new CallMetadata(
                        "r1",
                        OptionalLong.empty(),
                        Optional.of(
                                new ProgramMetadata("p1", "", OptionalLong.of(remainingMillis))),
                        turn
                                ? Optional.of(
                                        new TurnMetadata(
                                                10,
                                                20,
                                                List.of(),
                                                OptionalLong.empty(),
                                                OptionalLong.empty()))
                                : Optional.empty(),
                        Optional.empty(),
                        Optional.empty());
        return urgency.forCall(CONFIG, ROUTE, metadata, System.nanoTime()).rankOf(300);
    }

    @Test
    void withoutOrganisationsAndForOtherCallsThereIsNoRank() {
        assertEquals(OptionalInt.empty(), rank(urgency(false), true, 5_000));
        assertEquals(OptionalInt.empty(), rank(urgency(true), false, 5_000));
    }

    @Test
    void aProgramThatWasSeenBeforeIsUnderWay() {
        TurnUrgency urgency = urgency(true);
        int first = rank(urgency, true, 5_000).orElseThrow();
        int second = rank(urgency, true, 5_000).orElseThrow();
        assertTrue(second < first, second + " and " + first);
    }

    @Test
    void thePredictedTimeOfTheTurnCountsAgainstTheProgramsRemainingTime() {
        assertEquals(OptionalInt.of(UrgencyPolicy.LAST_RANK), rank(urgency(true), true, 250));
    }
}
