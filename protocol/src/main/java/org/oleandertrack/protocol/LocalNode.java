package org.oleandertrack.protocol;

import org.oleandertrack.protocol.message.Role;

/**
 * What this process says of itself in a handshake. Immutable.
 *
 * @param node name of this process's host
 * @param role what the process is
 * @param incarnation random number chosen at the start of the process; never zero
 * @param zone availability zone
 * @param target the target behind a sidecar; empty for an entry host
 */
public record LocalNode(String node, Role role, long incarnation, String zone, String target) {}
