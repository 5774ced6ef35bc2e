package org.oleandertrack.bench;

import java.util.Locale;

/**
 * One row of the table.
 *
 * @param name what is measured, with its unit
 * @param baseline value of the baseline
 * @param ours value of the product's policies
 * @param compared the number that the bar applies to
 * @param bar the required value
 */
record Figure(String name, double baseline, double ours, double compared, Bar bar) {

    /**
     * A required value.
     *
     * @param kind how the value is compared
     * @param value the value, from section 1.3 of the design page
     */
    record Bar(Kind kind, double value) {

        /** How a figure is compared with its bar. */
        enum Kind {
            UNDER,
            AT_MOST,
            OVER,
            NONE
        }

        static Bar under(double value) {
            return new Bar(Kind.UNDER, value);
        }

        static Bar atMost(double value) {
            return new Bar(Kind.AT_MOST, value);
        }

        static Bar over(double value) {
            return new Bar(Kind.OVER, value);
        }

        static Bar none() {
            return new Bar(Kind.NONE, 0);
        }

        private String text() {
            return switch (kind) {
                case UNDER -> "< " + format(value);
                case AT_MOST -> "<= " + format(value);
                case OVER -> "> " + format(value);
                case NONE -> "-";
            };
        }
    }

    /** Creates a figure whose bar applies to the ratio of ours to the baseline. */
    static Figure ratio(String name, double baseline, double ours, Bar bar) {
        return new Figure(name, baseline, ours, ours / baseline, bar);
    }

    /** Creates a figure whose bar applies to our value itself. */
    static Figure value(String name, double baseline, double ours, Bar bar) {
        return new Figure(name, baseline, ours, ours, bar);
    }

    boolean met() {
        return switch (bar.kind()) {
            case UNDER -> compared < bar.value();
            case AT_MOST -> compared <= bar.value();
            case OVER -> compared > bar.value();
            case NONE -> true;
        };
    }

    static String header() {
        return row("figure", "baseline", "ours", "ratio", "bar", "result")
                + "\n"
                + row("---", "---", "---", "---", "---", "---");
    }

    String row() {
        String result = bar.kind() == Bar.Kind.NONE ? "-" : met() ? "met" : "missed";
        String ratio = baseline == 0 ? "-" : format(ours / baseline);
        return row(name, format(baseline), format(ours), ratio, bar.text(), result);
    }

    private static String row(String... cells) {
        return String.format(
                Locale.ROOT, "| %-70s | %9s | %9s | %7s | %8s | %-6s |", (Object[]) cells);
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
