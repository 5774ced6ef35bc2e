/** Group commit: many conditional writes and history records in few requests to the store. */
package org.oleandertrack.coordination.commit;
