/** The platform's list of hosts. */
package org.oleandertrack.coordination.membership;
