/** Coordination of the processes of the product, over narrow interfaces to the platform's store. */
package org.oleandertrack.coordination;
