package org.oleandertrack.gateway.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a stop whose phases do not fit into the grace period. */
final class StopScheduleTest {

    @ParameterizedTest
    @ValueSource(longs = {100, 500, 1_000, 3_000, 8_000, 60_000})
    void thePhasesFollowEachOtherWithinTheGrace(long graceMillis) {
        StopSchedule schedule = StopSchedule.of(graceMillis);
        assertTrue(schedule.refuseMillis() > 0);
        assertTrue(schedule.refuseMillis() < schedule.endCallsMillis());
        assertTrue(schedule.endCallsMillis() < schedule.exitMillis());
        assertTrue(schedule.exitMillis() < graceMillis);
    }

    @ParameterizedTest
    @ValueSource(longs = {8_000, 60_000})
    void aLongGraceEndsCallsOnlyInItsLastPart(long graceMillis) {
        assertEquals(graceMillis - 600, StopSchedule.of(graceMillis).endCallsMillis());
    }
}
