/** Requests that crash the targets that run them. */
package org.oleandertrack.core.quarantine;
