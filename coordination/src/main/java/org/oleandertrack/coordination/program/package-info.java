/**
 * Durable state of programs: last committed turn, history and budget.
 *
 * <p>A program is a chain of dependent model calls, and a turn is one call of a program. A program
 * can start sub-agents, which are programs that share the budget of their root program. The node
 * that holds the shard of a program adopts it, which fences off the former holder.
 */
package org.oleandertrack.coordination.program;
