/**
 * Accounting of token budgets: durable grants, and the tokens that their holder has used of them.
 */
package org.oleandertrack.core.budget;
