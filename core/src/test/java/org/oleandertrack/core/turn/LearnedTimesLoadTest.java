package org.oleandertrack.core.turn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against hosts that send to slow engines as often as to fast ones, or that all send to the
 * fastest engines and overload them, in a model of 27 hosts that each see only their own turns.
 */
final class LearnedTimesLoadTest {

    private static final double[] MIXED = {1.0, 0.6, 1.6};
    private static final double[] EQUAL = {1.0};
    private static final int WARM_UP_SECONDS = 20;
    private static final int MEASURED_SECONDS = 40;

    private static TurnLoadModel run(double[] factors, double load, boolean learning) {
        TurnLoadModel model = new TurnLoadModel(EngineTimes.DEFAULT, factors, learning);
        measure(model, factors, load);
        return model;
    }

    private static void measure(TurnLoadModel model, double[] factors, double load) {
        double perSecond = load * TurnLoadModel.capacityPerSecond(EngineTimes.DEFAULT, factors);
        model.run(WARM_UP_SECONDS, perSecond);
        model.clearFigures();
        model.run(MEASURED_SECONDS, perSecond);
    }

    private static String figures(TurnLoadModel without, TurnLoadModel with) {
        return "mean %.0f ms and p99 %.0f ms without, %.0f ms and %.0f ms with learned times"
                .formatted(
                        without.meanMillis(),
                        without.p99Millis(),
                        with.meanMillis(),
                        with.p99Millis());
    }

    @ParameterizedTest
    @CsvSource({"0.5, 0.6", "0.7, 0.4", "0.9, 0.2"})
    void turnsAtEnginesOfDifferentSpeedAreShorter(double load, double largestP99Ratio) {
        TurnLoadModel without = run(MIXED, load, false);
        TurnLoadModel with = run(MIXED, load, true);
        System.out.println("load " + load + ": " + figures(without, with));
        assertTrue(with.meanMillis() < without.meanMillis(), figures(without, with));
        assertTrue(
                with.p99Millis() < largestP99Ratio * without.p99Millis(), figures(without, with));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.7, 0.9})
    void theConstantsStayInForceAtEqualEnginesThatHaveThem(double load) {
        TurnLoadModel without = run(EQUAL, load, false);
        TurnLoadModel with = run(EQUAL, load, true);
        System.out.println("equal, load " + load + ": " + figures(without, with));
        long hostsWithOtherTimes =
                with.hosts().stream()
                        .filter(host -> !host.mTimes.engineTimes().equals(EngineTimes.DEFAULT))
                        .count();
        long otherFactors =
                with.hosts().stream()
                        .flatMap(host -> host.mStates.stream())
                        .filter(state -> state.times().engineFactor(with.nowNanos()) != 1)
                        .count();
        assertEquals(0, hostsWithOtherTimes);
        assertTrue(otherFactors <= 5, otherFactors + " of 594 factors");
        assertTrue(with.meanMillis() < 1.05 * without.meanMillis(), figures(without, with));
    }

    @Test
    void anEngineThatTurnsSlowGetsLessUntilItHasRecovered() {
        TurnLoadModel model = run(EQUAL, 0.7, true);
        double usual = model.turnsAt(0);
        model.engine(0).setFactor(1.6);
        measure(model, EQUAL, 0.7);
        double slow = model.turnsAt(0);
        model.engine(0).setFactor(1);
        // An old factor counts for nothing after about 200 s.
        for (int i = 0; i < 5; i++) {
            measure(model, EQUAL, 0.7);
        }
        double recovered = model.turnsAt(0);
        String turns = "turns %.0f, %.0f, %.0f".formatted(usual, slow, recovered);
        System.out.println(turns);
        assertTrue(slow < 0.6 * usual, turns);
        assertTrue(recovered > 0.8 * usual, turns);
    }

    @Test
    void anEngineThatReportsLessLoadThanItHasGetsNoMoreThanWithoutLearnedTimes() {
        int[] turns = new int[2];
        for (int i = 0; i < 2; i++) {
            TurnLoadModel model = new TurnLoadModel(EngineTimes.DEFAULT, EQUAL, i == 1);
            model.setReportOfFirstEngine(load -> new ReportedLoad(1, 0, load.slots(), 1));
            measure(model, EQUAL, 0.7);
            turns[i] = model.turnsAt(0);
        }
        String message = "turns %d without and %d with learned times".formatted(turns[0], turns[1]);
        System.out.println(message);
        assertTrue(turns[1] <= turns[0], message);
    }
}
