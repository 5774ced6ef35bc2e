package org.oleandertrack.command;

/** A parsed statement of the operators' command language: a query or a command. */
public sealed interface Statement permits Query, Command {}
