package org.oleandertrack.protocol;

import org.oleandertrack.protocol.message.Role;

/**
 * Identity that this process sends in its Hello. Immutable.
 *
 * @param node name of this process's host
 * @param role role of this process, such as entry host or sidecar
 * @param incarnation random number chosen when the process starts; never zero
 * @param zone availability zone of the host
 * @param target the target that a sidecar serves; empty for an entry host
 */
public record LocalNode(String node, Role role, long incarnation, String zone, String target) {}
