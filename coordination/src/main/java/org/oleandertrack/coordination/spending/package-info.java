/** Durable accounts of the tokens that programs may still generate. */
package org.oleandertrack.coordination.spending;
