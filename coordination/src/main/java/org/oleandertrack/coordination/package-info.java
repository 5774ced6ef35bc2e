/** Coordination parts as a library, over narrow interfaces to the platform. */
package org.oleandertrack.coordination;
