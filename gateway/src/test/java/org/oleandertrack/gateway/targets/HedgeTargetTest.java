package org.oleandertrack.gateway.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.discovery.RemovalReason;
import org.oleandertrack.core.discovery.TargetRecord;
import org.oleandertrack.core.turn.CallPlacement;
import org.oleandertrack.core.turn.ReportedLoad;
import org.oleandertrack.core.turn.TurnPlacement;
import org.oleandertrack.telemetry.logging.EventLog;

/** Guards against second sends to targets that must not get extra work. */
final class HedgeTargetTest {

    private static final String SERVICE = "tool";
    private static final int SLOTS = 4;
    private static final long NOW_NANOS = 1_000_000_000_000L;
    private static final TargetFilter ANY = new TargetFilter(Set.of(), Optional.empty());

    private final TargetRegistry mTargets =
            new TargetRegistry(
                    new TurnPlacement("a"),
                    new CallPlacement("a", new Random(1)),
                    new EventLog(new ByteArrayOutputStream()::writeBytes, Clock.systemUTC(), 100));

    private void add(String id, String zone) {
        mTargets.onAdded(record(id, zone));
    }

    private static TargetRecord record(String id, String zone) {
        return new TargetRecord(
                id, SERVICE, "127.0.0.1", 1, zone, "v1", false, SLOTS, OptionalLong.empty());
    }

    private TargetHandle place(Set<String> excludedIds) {
        return mTargets.placeCall(
                        SERVICE, new TargetFilter(excludedIds, Optional.empty()), true, NOW_NANOS)
                .orElseThrow()
                .handle();
    }

    private Optional<String> hedge(TargetHandle first) {
        return mTargets.placeHedge(first, Optional.empty(), ANY, NOW_NANOS)
                .map(placed -> placed.handle().id());
    }

    /** Guards against two sends to one target, and against two sends into one slow zone. */
    @Test
    void theSecondTargetIsInAnotherZoneIfEquallyGood() {
        add("a0", "a");
        add("a1", "a");
        add("b0", "b");
        TargetHandle first = place(Set.of("a1", "b0"));
        assertEquals(Optional.of("b0"), hedge(first));
        // The target in the other zone now has a request, so the one in the same zone is better.
        assertEquals(Optional.of("a1"), hedge(first));
    }

    /** Guards against a second send to the only target, and to one that is in trouble. */
    @Test
    void targetsInTroubleGetNoSecondSend() {
        add("t0", "a");
        TargetHandle first = place(Set.of());
        assertEquals(Optional.empty(), hedge(first));
        add("t1", "a");
        TargetHandle other = place(Set.of("t0"));
        mTargets.recordEnd(other);
        mTargets.avoid(other, NOW_NANOS + 1);
        assertEquals(Optional.empty(), hedge(first));
        mTargets.recordLoad(other, new ReportedLoad(0, 0, SLOTS, 1), NOW_NANOS);
        mTargets.recordRateLimit(other, OptionalDouble.of(10), NOW_NANOS);
        assertEquals(Optional.empty(), hedge(first));
        mTargets.recordRateLimit(other, OptionalDouble.empty(), NOW_NANOS);
        assertEquals(Optional.of("t1"), hedge(first));
        mTargets.onRemoved(record("t1", "a"), RemovalReason.LEAVING);
        assertEquals(Optional.empty(), hedge(first));
    }

    /** Guards against extra work where first sends have to wait for slots. */
    @Test
    void fullTargetsAndServicesAreRecognised() {
        add("t0", "a");
        add("t1", "a");
        TargetHandle first = place(Set.of("t1"));
        assertFalse(mTargets.isNearlyFull(SERVICE, NOW_NANOS));
        for (int i = 0; i < 3; i++) {
            place(Set.of("t0"));
        }
        assertEquals(Optional.empty(), hedge(first));
        place(Set.of("t1"));
        place(Set.of("t1"));
        assertTrue(mTargets.isNearlyFull(SERVICE, NOW_NANOS));
    }
}
