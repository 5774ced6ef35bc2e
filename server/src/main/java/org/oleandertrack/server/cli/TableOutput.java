package org.oleandertrack.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Prints an answer as a table with aligned columns. */
final class TableOutput implements CtlOutput {

    private static final String GAP = "  ";
    private static final String ABSENT = "-";
    // A cell must not be able to send control sequences to the operator's terminal.
    private static final Pattern CONTROL = Pattern.compile("\\p{Cntrl}");

    private final PrintStream mOut;
    private final List<List<String>> mLines = new ArrayList<>();

    TableOutput(PrintStream out) {
        mOut = out;
    }

    @Override
    public void columns(List<String> names) {
        mLines.add(names.stream().map(TableOutput::printable).toList());
    }

    @Override
    public void row(List<JsonNode> cells) {
        mLines.add(cells.stream().map(TableOutput::cellText).toList());
    }

    @Override
    public void end() {
        int[] widths = new int[mLines.getFirst().size()];
        for (List<String> line : mLines) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        mLines.forEach(line -> mOut.println(aligned(line, widths)));
    }

    private static String aligned(List<String> line, int... widths) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            String cell = line.get(i);
            text.append(cell).append(" ".repeat(widths[i] - cell.length())).append(GAP);
        }
        return text.toString().stripTrailing();
    }

    private static String cellText(JsonNode cell) {
        if (cell.isNull() || cell.asText().isEmpty()) {
            return ABSENT;
        }
        return printable(cell.asText());
    }

    private static String printable(String text) {
        return CONTROL.matcher(text).replaceAll("?");
    }
}
