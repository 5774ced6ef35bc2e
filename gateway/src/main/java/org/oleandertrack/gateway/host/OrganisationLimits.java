package org.oleandertrack.gateway.host;

import java.util.List;
import java.util.Random;
import org.oleandertrack.coordination.schedule.Scheduler;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.organisation.limit.AskerState;
import org.oleandertrack.core.organisation.limit.OwnShares;
import org.oleandertrack.core.organisation.limit.PermitIssuerState;
import org.oleandertrack.gateway.call.OrganisationLimiter;
import org.oleandertrack.gateway.organisation.LimitReports;
import org.oleandertrack.gateway.organisation.OrganisationIssuers;
import org.oleandertrack.gateway.organisation.OrganisationPermitService;
import org.oleandertrack.gateway.organisation.SharedOrganisationLimiter;
import org.oleandertrack.gateway.peer.PeerDirectory;
import org.oleandertrack.gateway.peer.PeerOrganisationIssuers;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** The components of a gateway process that limit the requests of organisations. Thread-safe. */
final class OrganisationLimits {

    // Long enough for a wave within the limit of a window of 5 s that comes in its first seconds. A
    // program that is late is served; one whose request is refused twice has failed.
    private static final long MAX_WAIT_MILLIS = 1_500;

    private final OrganisationPermitService mPermitService;
    private final SharedOrganisationLimiter mLimiter;
    private final LimitReports mReports;

    private OrganisationLimits(
            OrganisationPermitService permitService,
            SharedOrganisationLimiter limiter,
            LimitReports reports) {
        mPermitService = permitService;
        mLimiter = limiter;
        mReports = reports;
    }

    static OrganisationLimits create(
            PeerDirectory peers,
            String nodeName,
            Random random,
            Scheduler scheduler,
            EventLog log,
            MetricsRegistry metrics) {
        OrganisationIssuers issuers =
                new PeerOrganisationIssuers(peers, nodeName, random, System::nanoTime, log);
        OrganisationPermitService permitService =
                new OrganisationPermitService(
                        issuers,
                        new PermitIssuerState(
                                random, System.nanoTime(), System.currentTimeMillis()),
                        System::nanoTime,
                        System::currentTimeMillis);
        LimitReports reports = new LimitReports(log, metrics);
        return new OrganisationLimits(
                permitService,
                new SharedOrganisationLimiter(
                        issuers,
                        permitService,
                        new AskerState(random),
                        new OwnShares(random),
                        System::nanoTime,
                        scheduler,
                        MAX_WAIT_MILLIS,
                        reports),
                reports);
    }

    // Accessors

    /** Returns the service that issues permits to this host and its peers. */
    OrganisationPermitService permitService() {
        return mPermitService;
    }

    /** Returns the limiter of this host's requests. */
    OrganisationLimiter limiter() {
        return mLimiter;
    }

    // Operations

    /** Applies the limits of a configuration. */
    void configure(List<Organisation> organisations, long version) {
        mPermitService.configure(organisations, version);
        mReports.configure(organisations);
    }

    /** To be called regularly. */
    void runMaintenance() {
        mPermitService.runMaintenance();
        mLimiter.runMaintenance();
    }
}
