/** Delayed tasks, behind an interface that tests implement with a virtual clock. */
package org.oleandertrack.coordination.schedule;
