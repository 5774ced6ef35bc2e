/** Interfaces to the platform's table service and object store. */
package org.oleandertrack.coordination.store;
