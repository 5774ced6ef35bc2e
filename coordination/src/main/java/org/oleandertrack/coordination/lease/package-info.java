/** Member leases and the shards claimed under them. */
package org.oleandertrack.coordination.lease;
