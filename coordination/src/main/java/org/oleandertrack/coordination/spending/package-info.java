/**
 * Budgets of programs: durable records of the tokens that hosts may still generate for a program. A
 * program is a chain of dependent model calls, its turns, which share one budget of tokens.
 */
package org.oleandertrack.coordination.spending;
