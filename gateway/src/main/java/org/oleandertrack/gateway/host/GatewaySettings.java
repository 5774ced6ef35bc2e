package org.oleandertrack.gateway.host;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.oleandertrack.coordination.pacing.StoreLimits;
import org.oleandertrack.core.organisation.RevocationBound;

/**
 * Settings of a gateway process. Immutable.
 *
 * @param nodeName name of this process in logs and in the store
 * @param zone availability zone of this host
 * @param callerAddress address on which callers are served
 * @param readinessAddress address on which the load balancer checks readiness
 * @param peerAddress address on which this gateway serves other gateways
 * @param seedAddresses addresses of some other gateways, which may be out of date
 * @param metricsAddress address on which metrics are served
 * @param graceMillis grace period: longest time from a request to stop until the process exits
 * @param entryRenewalMillis time after an outage of the store within which live targets renew their
 *     entries in it
 * @param maxLogLinesPerSecond number of log lines per second beyond which lines about routine work
 *     are dropped
 * @param responseMemoryBytes bytes of responses that are held until they are complete
 * @param hedgePercent number of late requests per hundred repeatable requests that may be sent to a
 *     second target; 0 for none
 * @param revocationMillis time after which a revoked access key must have no effect at any host, in
 *     milliseconds; empty if it is not bounded
 * @param storeLimits rates of the store, by which this host paces its writes; empty if it does not
 */
public record GatewaySettings(
        String nodeName,
        String zone,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        List<InetSocketAddress> seedAddresses,
        InetSocketAddress metricsAddress,
        long graceMillis,
        long entryRenewalMillis,
        int maxLogLinesPerSecond,
        long responseMemoryBytes,
        int hedgePercent,
        OptionalLong revocationMillis,
        Optional<StoreLimits> storeLimits) {

    /** Returns the bound on the time until a revoked access key has no effect, if there is one. */
    Optional<RevocationBound> revocationBound() {
        return revocationMillis.isEmpty()
                ? Optional.empty()
                : Optional.of(new RevocationBound(revocationMillis.getAsLong()));
    }

    /** Returns these settings with the given values for those that may change at run time. */
    GatewaySettings withReloadable(GatewaySettings other) {
        return new GatewaySettings(
                nodeName,
                zone,
                callerAddress,
                readinessAddress,
                peerAddress,
                other.seedAddresses,
                metricsAddress,
                other.graceMillis,
                entryRenewalMillis,
                maxLogLinesPerSecond,
                responseMemoryBytes,
                hedgePercent,
                revocationMillis,
                storeLimits);
    }

    /** Returns these settings with another number of hedged requests. */
    public GatewaySettings withHedgePercent(int percent) {
        return new GatewaySettings(
                nodeName,
                zone,
                callerAddress,
                readinessAddress,
                peerAddress,
                seedAddresses,
                metricsAddress,
                graceMillis,
                entryRenewalMillis,
                maxLogLinesPerSecond,
                responseMemoryBytes,
                percent,
                revocationMillis,
                storeLimits);
    }
}
