/** The server binary; the daemons and the command line are in subpackages. */
package org.oleandertrack.server;
