package org.oleandertrack.command;

/** A statement that changes something. */
public sealed interface Command extends Statement permits ConfigCommand, EndProgram {}
