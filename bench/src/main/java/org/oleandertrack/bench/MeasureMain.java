package org.oleandertrack.bench;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Command line that runs benchmarks and prints a table of their figures. */
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
     * Runs the benchmarks that the arguments name, or all of them if none is named.
     *
     * @param arguments benchmark names and {@code --seed NUMBER}
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
                fail("--seed needs an integer");
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
