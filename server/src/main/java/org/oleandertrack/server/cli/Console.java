package org.oleandertrack.server.cli;

import java.io.PrintStream;

/**
 * Where a command prints. Immutable.
 *
 * @param out results
 * @param err error lines
 */
public record Console(PrintStream out, PrintStream err) {}
