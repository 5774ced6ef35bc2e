/** Access to the platform's tables of versioned rows and to its object store. */
package org.oleandertrack.coordination.store;
