package org.oleandertrack.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Prints the result of a statement. Each instance prints one result: {@link #printColumns} is
 * called first, then {@link #printRow} for each row, then {@link #finish}.
 */
interface CtlOutput {

    void printColumns(List<String> names);

    void printRow(List<JsonNode> cells);

    void finish();
}
