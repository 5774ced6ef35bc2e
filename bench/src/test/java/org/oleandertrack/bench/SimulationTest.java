package org.oleandertrack.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against benchmark figures that are wrong because the simulation has an error. */
final class SimulationTest {

    private static final Program PROGRAM =
            new Program("p", "o", 0, false, List.of(new Turn(1_000, 20, 0)));

    @Test
    void eventsRunByTimeAndThenInSchedulingOrder() {
        VirtualClock clock = new VirtualClock();
        List<Integer> order = new ArrayList<>();
        clock.scheduleAt(20, () -> order.add(3));
        clock.scheduleAt(10, () -> order.add(1));
        clock.scheduleAt(10, () -> order.add(2));
        clock.run();
        assertEquals(List.of(1, 2, 3), order);
        assertEquals(20, clock.nowNanos());
    }

    /** A resumed attempt neither generates complete tokens nor computes its prompt again. */
    @Test
    void resumedAttemptKeepsCompleteTokensAndPrompt() {
        VirtualClock clock = new VirtualClock();
        List<Long> ended = new ArrayList<>();
        Engine engine = new Engine(clock, 10_000, attempt -> ended.add(clock.nowNanos()));
        Call call = new Call("c", PROGRAM, 1, 1_000, 20, 0, Long.MAX_VALUE);
        Attempt attempt = new Attempt(call, true, (outcome, nanos) -> {});
        engine.start(attempt);
        long prefill = 1_000 * Engine.PREFILL_NANOS_PER_TOKEN;
        // Ten and a half tokens have been generated when the attempt is stopped.
        clock.runUntil(prefill + 21 * Engine.GENERATION_NANOS_PER_TOKEN / 2);
        clock.scheduleAt(
                prefill + 21 * Engine.GENERATION_NANOS_PER_TOKEN / 2, () -> engine.stop(attempt));
        long resumed = 100 * VirtualClock.SECOND;
        clock.scheduleAt(resumed, () -> engine.start(attempt));
        clock.run();
        assertEquals(List.of(resumed + 10 * Engine.GENERATION_NANOS_PER_TOKEN), ended);
        assertEquals(1_000, engine.computedPromptTokens());
    }

    /** Otherwise figures from before and after a change could not be compared. */
    @Test
    void sameSeedGivesSameFigures() {
        Measure measure = new FailingTargetsMeasure();
        assertEquals(measure.run(5), measure.run(5));
    }

    @Test
    void figureIsComparedWithItsRequirement() {
        assertTrue(Figure.ratio("f", 4, 0.9, Figure.Requirement.under(0.25)).isMet());
        assertEquals(false, Figure.ratio("f", 4, 1, Figure.Requirement.under(0.25)).isMet());
        assertEquals(false, Figure.ratio("f", 1, 2, Figure.Requirement.over(2)).isMet());
        assertTrue(Figure.value("f", 0, 0.05, Figure.Requirement.atMost(0.05)).isMet());
    }
}
