/** The command line: starts the daemons, checks settings files and sends operator commands. */
package org.oleandertrack.server.cli;
