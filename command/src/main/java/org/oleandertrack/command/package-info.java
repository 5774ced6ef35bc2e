/**
 * The language in which operators query the system, change its configuration and end programs:
 * parsing, formatting and the effect of changes on the configuration.
 */
package org.oleandertrack.command;
