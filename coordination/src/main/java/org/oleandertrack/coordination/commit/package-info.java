/** Group commit: sends many conditional writes and records to the store in few requests. */
package org.oleandertrack.coordination.commit;
