package org.oleandertrack.command;

/** A statement that changes the configuration or ends a program. */
public sealed interface Command extends Statement permits ConfigCommand, EndProgram {}
