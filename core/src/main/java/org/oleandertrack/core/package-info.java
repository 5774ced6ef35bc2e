/**
 * Decision logic of the scheduler. It has no network access, reads no clock and uses no framework.
 */
package org.oleandertrack.core;
