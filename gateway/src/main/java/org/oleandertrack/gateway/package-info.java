/** Passes requests of callers on to targets over HTTP. */
package org.oleandertrack.gateway;
