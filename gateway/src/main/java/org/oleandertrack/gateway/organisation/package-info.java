/** Limits of organisations: asks for permits, and issues them to the other hosts. */
package org.oleandertrack.gateway.organisation;
