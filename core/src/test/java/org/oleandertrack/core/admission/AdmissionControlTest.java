package org.oleandertrack.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.oleandertrack.core.queue.OrganisationWeights;
import org.oleandertrack.core.result.ResultCode;

/** Guards against admitting programs that cannot finish, and against unfair admission. */
final class AdmissionControlTest {

    private static final long SECOND = 1_000_000_000L;
    private static final AdmissionConfig CONFIG =
            new AdmissionConfig(10 * SECOND, 20 * SECOND, 20 * SECOND, 10 * SECOND);

    /**
     * Four slots serve eight programs that use their slot half of the time. With a maximum wait of
     * 5 s, ten programs are admitted.
     */
    @Test
    void refusesWhenProgramsWouldWaitLongerThanAllowed() {
        AdmissionControl control = control(OrganisationWeights.EQUAL);
        for (int i = 0; i < 10; i++) {
            assertInstanceOf(
                    AdmissionResult.Admitted.class, control.admit("p" + i, "o", 5 * SECOND, 0, 0));
        }
        AdmissionResult.Refused refused =
                assertInstanceOf(
                        AdmissionResult.Refused.class, control.admit("p", "o", 5 * SECOND, 0, 0));
        assertEquals(ResultCode.OVERLOADED, refused.code());
        assertTrue(refused.retryAfterMillis() >= 2_500);
        control.end("p0", 10 * SECOND, 20 * SECOND, true);
        assertInstanceOf(AdmissionResult.Admitted.class, control.admit("p", "o", 5 * SECOND, 0, 0));
    }

    @Test
    void neverRefusesProgramUnderWay() {
        AdmissionControl control = control(OrganisationWeights.EQUAL);
        control.admit("p", "o", SECOND, 0, 0);
        assertInstanceOf(
                AdmissionResult.Admitted.class, control.admit("p", "o", SECOND, 90 * SECOND, 0));
        assertInstanceOf(
                AdmissionResult.Refused.class, control.admit("q", "o", SECOND, 90 * SECOND, 0));
    }

    @Test
    void abandonedProgramsAreRemoved() {
        AdmissionControl control = control(OrganisationWeights.EQUAL);
        control.admit("p", "o", SECOND, 0, 0);
        control.admit("q", "o", SECOND, 0, 0);
        control.recordActivity("q", 50 * SECOND);
        control.dropIdle(30 * SECOND, 60 * SECOND);
        assertEquals(1, control.admittedCount());
    }

    /** Guards against an organisation that gets more programs admitted by asking more often. */
    @Property(seed = "20261204", tries = 30)
    void organisationsShareByWeightWhileSlotsAreExhausted(
            @ForAll @IntRange(min = 1, max = 4) int weightA,
            @ForAll @IntRange(min = 1, max = 4) int weightB,
            @ForAll long seed) {
        Map<String, Integer> weights = Map.of("a", weightA, "b", weightB);
        AdmissionControl control = control(weights::get);
        SplittableRandom random = new SplittableRandom(seed);
        ArrayDeque<String> running = new ArrayDeque<>();
        Map<String, Integer> admitted = new HashMap<>();
        for (int step = 0; step < 20_000; step++) {
            // Organisation a asks four times as often as b.
            String organisation = random.nextInt(5) == 0 ? "b" : "a";
            String program = organisation + step;
            long now = step * SECOND / 10;
            if (control.admit(program, organisation, 5 * SECOND, 0, now)
                    instanceof AdmissionResult.Admitted) {
                running.add(program);
                admitted.merge(organisation, 1, Integer::sum);
            }
            if (step % 25 == 0 && !running.isEmpty()) {
                control.end(running.remove(), 10 * SECOND, 20 * SECOND, true);
            }
        }
        double share = (double) admitted.get("a") / (admitted.get("a") + admitted.get("b"));
        assertEquals((double) weightA / (weightA + weightB), share, 0.05);
    }

    private static AdmissionControl control(OrganisationWeights weights) {
        return new AdmissionControl(CONFIG, weights, 4, new SplittableRandom(1));
    }
}
