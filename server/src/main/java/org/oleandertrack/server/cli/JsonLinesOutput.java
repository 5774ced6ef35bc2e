package org.oleandertrack.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;

/** Prints each row as one line with a JSON object as soon as the row arrives. */
final class JsonLinesOutput implements CtlOutput {

    private final PrintStream mOut;
    private List<String> mColumns = List.of();

    JsonLinesOutput(PrintStream out) {
        mOut = out;
    }

    @Override
    public void printColumns(List<String> names) {
        mColumns = names;
    }

    @Override
    public void printRow(List<JsonNode> cells) {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        for (int i = 0; i < mColumns.size(); i++) {
            object.set(mColumns.get(i), cells.get(i));
        }
        mOut.println(object);
    }

    @Override
    public void finish() {}
}
