package org.oleandertrack.gateway.host;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of a gateway process. Immutable.
 *
 * @param node name of this process in logs
 * @param zone availability zone of this host
 * @param callers address on which callers are served
 * @param readiness address on which the load balancer asks for readiness
 * @param peers address on which other gateways are served
 * @param seeds addresses of some other gateways, which may be stale
 * @param metrics address on which metrics are served
 * @param graceMillis time between a request to stop and the forced end
 * @param entryRenewalMillis time within which living targets renew their entries after an outage of
 *     the store
 * @param maxLogLinesPerSecond bound of log lines about ordinary work
 */
public record GatewaySettings(
        String node,
        String zone,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        List<InetSocketAddress> seeds,
        InetSocketAddress metrics,
        long graceMillis,
        long entryRenewalMillis,
        int maxLogLinesPerSecond) {

    /** Returns these settings with those of another that may change while the process runs. */
    GatewaySettings withChangeable(GatewaySettings other) {
        return new GatewaySettings(
                node,
                zone,
                callers,
                readiness,
                peers,
                other.seeds,
                metrics,
                other.graceMillis,
                entryRenewalMillis,
                maxLogLinesPerSecond);
    }
}
