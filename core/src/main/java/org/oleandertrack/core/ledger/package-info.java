/** Which owners hold prefix tokens in a model engine, and when they are to be freed. */
package org.oleandertrack.core.ledger;
