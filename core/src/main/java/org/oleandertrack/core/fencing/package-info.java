/** Fencing checks that prevent former shard holders from starting work at targets. */
package org.oleandertrack.core.fencing;
