/** The HTTP server and JSON helpers that all stand-ins share. */
package org.oleandertrack.standins.http;
