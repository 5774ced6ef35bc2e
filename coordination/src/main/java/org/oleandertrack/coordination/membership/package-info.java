/** The platform's host list and what hosts say about themselves. */
package org.oleandertrack.coordination.membership;
