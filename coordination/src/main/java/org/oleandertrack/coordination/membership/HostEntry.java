package org.oleandertrack.coordination.membership;

/**
 * One entry of the platform's list of hosts.
 *
 * @param hostId name of the host
 * @param role kind of process that runs on the host
 * @param zone availability zone
 * @param address IP number of the inner protocol's listener
 * @param port TCP port of the inner protocol's listener
 * @param target name of the target on that host; empty for an entry host
 * @param models names of the models that the target serves, separated by commas; empty for a plain
 *     service
 * @param service name of the plain service that the target provides; empty for a model engine
 * @param leaving whether the platform marks the host as leaving
 */
public record HostEntry(
        String hostId,
        HostRole role,
        String zone,
        String address,
        int port,
        String target,
        String models,
        String service,
        boolean leaving) {}
