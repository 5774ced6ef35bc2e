/** Quarantine of requests that crash targets, which all hosts share through the store. */
package org.oleandertrack.coordination.quarantine;
