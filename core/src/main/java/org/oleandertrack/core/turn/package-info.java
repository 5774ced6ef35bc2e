/**
 * Placement of a program's turns on model engines and of calls on plain services, by the predicted
 * end of the work. No network and no clock.
 */
package org.oleandertrack.core.turn;
