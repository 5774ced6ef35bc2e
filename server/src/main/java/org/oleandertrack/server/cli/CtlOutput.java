package org.oleandertrack.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** Prints the rows of an answer. Used for one answer, in the order columns, rows, end. */
interface CtlOutput {

    void columns(List<String> names);

    void row(List<JsonNode> cells);

    void end();
}
