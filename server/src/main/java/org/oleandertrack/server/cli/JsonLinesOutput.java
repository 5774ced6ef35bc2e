package org.oleandertrack.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;

/** Prints each row of an answer as one line with a JSON object, as soon as it arrives. */
final class JsonLinesOutput implements CtlOutput {

    private final PrintStream mOut;
    private List<String> mColumns = List.of();

    JsonLinesOutput(PrintStream out) {
        mOut = out;
    }

    @Override
    public void columns(List<String> names) {
        mColumns = names;
    }

    @Override
    public void row(List<JsonNode> cells) {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        for (int i = 0; i < mColumns.size(); i++) {
            object.set(mColumns.get(i), cells.get(i));
        }
        mOut.println(object);
    }

    @Override
    public void end() {}
}
