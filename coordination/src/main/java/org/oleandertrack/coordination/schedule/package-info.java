/** Timers that tests replace by a virtual clock. */
package org.oleandertrack.coordination.schedule;
