/** Limits on the rate of requests that all hosts together send to one target. */
package org.oleandertrack.core.rate;
