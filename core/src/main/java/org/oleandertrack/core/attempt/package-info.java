/** Decides what follows when a target has not given a call its whole response. */
package org.oleandertrack.core.attempt;
