/** Durable programs: head, history and budget. */
package org.oleandertrack.coordination.program;
