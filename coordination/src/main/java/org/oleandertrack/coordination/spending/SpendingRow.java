package org.oleandertrack.coordination.spending;

/**
 * Value of a program's row in the table {@code spending}.
 *
 * @param grantedTokens tokens granted so far, to hosts and to the program's outage allowance
 * @param writeId unique id of the write, by which the writer recognises it after a lost reply
 */
record SpendingRow(long grantedTokens, String writeId) {}
