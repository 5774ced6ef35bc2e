/** Configuration of the traffic that entry hosts forward to targets. */
package org.oleandertrack.core.traffic;
