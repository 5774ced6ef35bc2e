/** HTTP server, connection relay and JSON helpers that the stand-ins share. */
package org.oleandertrack.standins.http;
