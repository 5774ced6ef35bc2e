package org.oleandertrack.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against figures that come from a fault of the fakes instead of a policy. */
final class FakesTest {

    private static final Program PROGRAM =
            new Program("p", "o", 0, false, List.of(new Turn(1_000, 20, 0)));

    @Test
    void eventsRunInTimeOrderAndInOrderOfEntryAtTheSameTime() {
        VirtualClock clock = new VirtualClock();
        List<Integer> order = new ArrayList<>();
        clock.at(20, () -> order.add(3));
        clock.at(10, () -> order.add(1));
        clock.at(10, () -> order.add(2));
        clock.run();
        assertEquals(List.of(1, 2, 3), order);
        assertEquals(20, clock.now());
    }

    /** A stopped attempt continues where it was, and its prompt stays in memory. */
    @Test
    void stoppingLosesNoCompleteToken() {
        VirtualClock clock = new VirtualClock();
        List<Long> ended = new ArrayList<>();
        Engine engine = new Engine(clock, 10_000, attempt -> ended.add(clock.now()));
        Call call = new Call("c", PROGRAM, 1, 1_000, 20, 0, Long.MAX_VALUE);
        Attempt attempt = new Attempt(call, true, (outcome, nanos) -> {});
        engine.start(attempt);
        long prefill = 1_000 * Engine.PREFILL_NANOS;
        // Ten tokens and a half are done at the stop.
        clock.runUntil(prefill + 21 * Engine.TOKEN_NANOS / 2);
        clock.at(prefill + 21 * Engine.TOKEN_NANOS / 2, () -> engine.stop(attempt));
        long resumed = 100 * VirtualClock.SECOND;
        clock.at(resumed, () -> engine.start(attempt));
        clock.run();
        assertEquals(List.of(resumed + 10 * Engine.TOKEN_NANOS), ended);
        assertEquals(1_000, engine.computedPromptTokens());
    }

    /** The same seed must give the same figures, or before and after cannot be compared. */
    @Test
    void sameSeedGivesSameFigures() {
        Measure measure = new FailingTargetsMeasure();
        assertEquals(measure.run(5), measure.run(5));
    }

    @Test
    void figureIsJudgedByItsBar() {
        assertTrue(Figure.ratio("f", 4, 0.9, Figure.Bar.under(0.25)).met());
        assertEquals(false, Figure.ratio("f", 4, 1, Figure.Bar.under(0.25)).met());
        assertEquals(false, Figure.ratio("f", 1, 2, Figure.Bar.over(2)).met());
        assertTrue(Figure.value("f", 0, 0.05, Figure.Bar.atMost(0.05)).met());
    }
}
