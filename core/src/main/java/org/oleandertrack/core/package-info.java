/** Decision logic of the scheduler: no network, no clock and no framework. */
package org.oleandertrack.core;
