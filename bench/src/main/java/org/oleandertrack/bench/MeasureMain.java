package org.oleandertrack.bench;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Runs measures and prints their table. */
public final class MeasureMain {

    private static final int EXIT_USAGE = 2;
    private static final long DEFAULT_SEED = 1;
    private static final List<Measure> MEASURES =
            List.of(
                    new HeadOfLineMeasure(),
                    new SlowTargetsMeasure(),
                    new PeakDemandMeasure(),
                    new PrefixMeasure(),
                    new FailingTargetsMeasure(),
                    new PlacementCostMeasure());

    private MeasureMain() {}

    /**
     * Runs the measures named in the arguments, or all of them.
     *
     * @param arguments measure names and {@code --seed NUMBER}
     */
    public static void main(String[] arguments) {
        long seed = DEFAULT_SEED;
        List<String> names = new ArrayList<>();
        Iterator<String> remaining = List.of(arguments).iterator();
        while (remaining.hasNext()) {
            String argument = remaining.next();
            if (!argument.equals("--seed")) {
                names.add(argument);
                continue;
            }
            String value = remaining.hasNext() ? remaining.next() : "";
            if (!value.matches("-?\\d{1,18}")) {
                fail("--seed needs a number");
            }
            seed = Long.parseLong(value);
        }
        List<String> known = MEASURES.stream().map(Measure::name).toList();
        for (String name : names) {
            if (!known.contains(name)) {
                fail("unknown measure " + name + "; known: " + String.join(", ", known));
            }
        }
        System.out.println("seed " + seed);
        System.out.println(Figure.header());
        for (Measure measure : MEASURES) {
            if (names.isEmpty() || names.contains(measure.name())) {
                for (Figure figure : measure.run(seed)) {
                    System.out.println(figure.row());
                }
            }
        }
    }

    private static void fail(String message) {
        System.err.println("error: " + message);
        System.exit(EXIT_USAGE);
    }
}
