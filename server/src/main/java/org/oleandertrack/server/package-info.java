/** The daemons and the command line. */
package org.oleandertrack.server;
