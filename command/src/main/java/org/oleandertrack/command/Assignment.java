package org.oleandertrack.command;

import java.util.List;

/**
 * An assignment or condition of the form {@code name=values}, before its names and values are
 * checked.
 *
 * @param name name of the attribute or column
 * @param values the values; empty if the statement has {@code *} instead of values
 */
record Assignment(PositionedText name, List<PositionedText> values) {}
