package org.oleandertrack.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Prints the rows as a table with aligned columns, once all of them have arrived. */
final class TableOutput implements CtlOutput {

    private static final String COLUMN_SEPARATOR = "  ";
    private static final String EMPTY_CELL = "-";
    // Replaced in cells, so that data cannot send control sequences to the operator's terminal.
    private static final Pattern CONTROL_CHARACTER = Pattern.compile("\\p{Cntrl}");

    private final PrintStream mOut;
    private final List<List<String>> mLines = new ArrayList<>();

    TableOutput(PrintStream out) {
        mOut = out;
    }

    @Override
    public void printColumns(List<String> names) {
        mLines.add(names.stream().map(TableOutput::replaceControlCharacters).toList());
    }

    @Override
    public void printRow(List<JsonNode> cells) {
        mLines.add(cells.stream().map(TableOutput::cellText).toList());
    }

    @Override
    public void finish() {
        int[] widths = new int[mLines.getFirst().size()];
        for (List<String> line : mLines) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        mLines.forEach(line -> mOut.println(alignLine(line, widths)));
    }

    private static String alignLine(List<String> line, int... widths) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            String cell = line.get(i);
            text.append(cell)
                    .append(" ".repeat(widths[i] - cell.length()))
                    .append(COLUMN_SEPARATOR);
        }
        return text.toString().stripTrailing();
    }

    private static String cellText(JsonNode cell) {
        if (cell.isNull() || cell.asText().isEmpty()) {
            return EMPTY_CELL;
        }
        return replaceControlCharacters(cell.asText());
    }

    private static String replaceControlCharacters(String text) {
        return CONTROL_CHARACTER.matcher(text).replaceAll("?");
    }
}
