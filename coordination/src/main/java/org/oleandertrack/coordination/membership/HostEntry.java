package org.oleandertrack.coordination.membership;

/**
 * One host of the platform's list.
 *
 * @param hostId name of the host
 * @param role what runs there
 * @param zone availability zone
 * @param address IP number of the inner protocol's listener
 * @param port TCP port of the inner protocol's listener
 * @param target the target on that host; empty for an entry host
 * @param models comma-separated models that the target serves; empty for a plain service
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
