/** The operators' query and command language, and its effect on the configuration. */
package org.oleandertrack.command;
