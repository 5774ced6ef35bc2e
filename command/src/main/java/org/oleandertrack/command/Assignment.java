package org.oleandertrack.command;

import java.util.List;

/**
 * An attribute and its values as written.
 *
 * @param name the attribute
 * @param values one or more values; empty if the value is {@code *}
 */
record Assignment(Word name, List<Word> values) {}
