package org.oleandertrack.server.cli;

import java.io.PrintStream;

/**
 * The streams that a command prints to. Immutable.
 *
 * @param out receives results
 * @param err receives error messages
 */
public record Console(PrintStream out, PrintStream err) {}
