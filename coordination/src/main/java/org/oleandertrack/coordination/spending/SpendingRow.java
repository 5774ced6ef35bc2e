package org.oleandertrack.coordination.spending;

/**
 * Row of a program's spending.
 *
 * @param grantedTokens tokens granted to hosts so far
 * @param writeId names the write, so that its writer recognises it after a lost reply
 */
record SpendingRow(long grantedTokens, String writeId) {}
