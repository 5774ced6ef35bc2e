/** Typed configuration of the traffic that entry hosts pass on to targets. */
package org.oleandertrack.core.traffic;
