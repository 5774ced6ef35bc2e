package org.oleandertrack.bench;

import java.util.Locale;

/**
 * One measured value of the product and of the baseline, shown as a row of the result table.
 *
 * @param name name of the measured quantity, with its unit
 * @param baseline value of the baseline
 * @param product value with the product's policies
 * @param comparedValue number that must meet the requirement
 * @param requirement requirement that applies to {@code comparedValue}
 */
record Figure(
        String name,
        double baseline,
        double product,
        double comparedValue,
        Requirement requirement) {

    /**
     * A requirement for a figure.
     *
     * @param kind how the figure is compared with the value
     * @param value limit, taken from section 1.3 of the design page
     */
    record Requirement(Kind kind, double value) {

        /** How a figure is compared with the required value. */
        enum Kind {
            UNDER,
            AT_MOST,
            OVER,
            NONE
        }

        static Requirement under(double value) {
            return new Requirement(Kind.UNDER, value);
        }

        static Requirement atMost(double value) {
            return new Requirement(Kind.AT_MOST, value);
        }

        static Requirement over(double value) {
            return new Requirement(Kind.OVER, value);
        }

        static Requirement none() {
            return new Requirement(Kind.NONE, 0);
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

    /** Creates a figure whose requirement applies to the quotient of product and baseline. */
    static Figure ratio(String name, double baseline, double product, Requirement requirement) {
        return new Figure(name, baseline, product, product / baseline, requirement);
    }

    /** Creates a figure whose requirement applies to the product's value. */
    static Figure value(String name, double baseline, double product, Requirement requirement) {
        return new Figure(name, baseline, product, product, requirement);
    }

    boolean isMet() {
        return switch (requirement.kind()) {
            case UNDER -> comparedValue < requirement.value();
            case AT_MOST -> comparedValue <= requirement.value();
            case OVER -> comparedValue > requirement.value();
            case NONE -> true;
        };
    }

    static String header() {
        return row("figure", "baseline", "ours", "ratio", "bar", "result")
                + "\n"
                + row("---", "---", "---", "---", "---", "---");
    }

    String row() {
        String result =
                requirement.kind() == Requirement.Kind.NONE ? "-" : isMet() ? "met" : "missed";
        String ratio = baseline == 0 ? "-" : format(product / baseline);
        return row(name, format(baseline), format(product), ratio, requirement.text(), result);
    }

    private static String row(String... cells) {
        return String.format(
                Locale.ROOT, "| %-70s | %9s | %9s | %7s | %8s | %-6s |", (Object[]) cells);
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
