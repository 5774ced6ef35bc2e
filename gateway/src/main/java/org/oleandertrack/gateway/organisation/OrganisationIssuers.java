package org.oleandertrack.gateway.organisation;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleandertrack.core.organisation.limit.IssuerReach;

/** The hosts that may issue permits. Thread-safe. */
public interface OrganisationIssuers {

    /** Returns the name of this host. */
    String ownName();

    /** Returns the number of known hosts, with this one. */
    int hostCount();

    /** Returns a number that changes when hosts are added or removed. */
    long hostsVersion();

    /** Returns the hosts that may issue permits for an organisation, the first one first. */
    List<String> issuersFor(String organisation);

    /** Returns the hosts that would issue permits for an organisation without this one. */
    List<String> issuersWithoutOwn(String organisation);

    /** Returns false for a while after a host did not respond in time. */
    boolean mayAsk(String host, long nowNanos);

    /** Returns some random responsive hosts other than this one and the given one. */
    List<String> responsiveHostsExcept(String host, int limit);

    /** Asks another host. The future fails if it does not decide in time. */
    CompletableFuture<PermitAnswer> ask(String host, PermitCall call, long timeoutMillis);

    /**
     * Asks a host to respond, after which {@link #mayAsk} is true for it. The future does not fail.
     */
    CompletableFuture<Boolean> probe(String host);

    /** Asks some other hosts to respond. The future does not fail. */
    CompletableFuture<IssuerReach> measureReach();
}
