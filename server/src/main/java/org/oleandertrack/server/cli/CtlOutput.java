package org.oleandertrack.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Prints the result of a statement. Each instance prints one result and is called in the order
 * columns, rows, end.
 */
interface CtlOutput {

    void printColumns(List<String> names);

    void printRow(List<JsonNode> cells);

    void finish();
}
