/** Checks that keep work of former shard holders away from targets. */
package org.oleandertrack.core.fencing;
