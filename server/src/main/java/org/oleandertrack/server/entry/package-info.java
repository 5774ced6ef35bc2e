/** The entry host: callers' interface, programs, placement, forwarding and operators' interface. */
package org.oleandertrack.server.entry;
