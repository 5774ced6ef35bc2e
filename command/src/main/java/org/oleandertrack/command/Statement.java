package org.oleandertrack.command;

/** What one line of the operators' language says. */
public sealed interface Statement permits Query, Command {}
