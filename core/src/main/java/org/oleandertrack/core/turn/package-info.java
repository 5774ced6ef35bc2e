/**
 * Placement of a program's turns on model engines, and of calls on other services, by the predicted
 * completion time. An engine is a target that runs a model. The current time is always passed in by
 * the caller.
 */
package org.oleandertrack.core.turn;
