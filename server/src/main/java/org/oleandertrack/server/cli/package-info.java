/** The command line. */
package org.oleandertrack.server.cli;
