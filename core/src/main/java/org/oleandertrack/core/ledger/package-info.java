/**
 * Tracks which owners hold prefix tokens in the memory of a model engine and when that memory is to
 * be freed.
 */
package org.oleandertrack.core.ledger;
