package org.oleandertrack.gateway.organisation;

import io.prometheus.metrics.core.metrics.Counter;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.oleandertrack.core.organisation.Organisation;
import org.oleandertrack.core.organisation.RequestLimit;
import org.oleandertrack.core.organisation.limit.IssueResult;
import org.oleandertrack.gateway.call.OrganisationLimiter;
import org.oleandertrack.telemetry.logging.EventLog;
import org.oleandertrack.telemetry.metrics.Metric;
import org.oleandertrack.telemetry.metrics.MetricsRegistry;

/** Logs and counts the decisions about limits of organisations. Thread-safe. */
public final class LimitReports {

    private static final int LABELLED_ORGANISATIONS = 10;
    private static final String OTHER = "other";

    private final EventLog mLog;
    private final Counter mPermits;
    private final Counter mDenials;
    private volatile Set<String> mLabelled = Set.of();

    /** Creates the counters in a registry. */
    public LimitReports(EventLog log, MetricsRegistry registry) {
        mLog = log;
        mPermits = registry.counter(Metric.ORGANISATION_PERMITS);
        mDenials = registry.counter(Metric.ORGANISATION_DENIALS);
    }

    /** Gives the organisations with the largest limits labels of their own. */
    public void configure(List<Organisation> organisations) {
        mLabelled =
                organisations.stream()
                        .filter(organisation -> organisation.limit().isPresent())
                        .sorted(
                                Comparator.comparingDouble(
                                                (Organisation organisation) ->
                                                        -organisation
                                                                .limit()
                                                                .get()
                                                                .requestsPerSecond())
                                        .thenComparing(Organisation::name))
                        .limit(LABELLED_ORGANISATIONS)
                        .map(Organisation::name)
                        .collect(Collectors.toUnmodifiableSet());
    }

    void reportAnswer(OrganisationLimiter.Request request, PermitAnswer answer) {
        switch (answer.result()) {
            case IssueResult.Granted granted -> count("granted", answer);
            case IssueResult.Denied denied -> {
                String reason = denied.reason().name().toLowerCase(Locale.ROOT);
                String organisation = request.organisation().name();
                count(reason, answer);
                mDenials.labelValues(mLabelled.contains(organisation) ? organisation : OTHER).inc();
                logDenied(request, denied, reason, answer);
            }
        }
    }

    void reportIssuerFailed(OrganisationLimiter.Request request, String issuer, Throwable failure) {
        mLog.info("issuer failed")
                .text("organisation", request.organisation().name())
                .text("issuer", issuer)
                .text("reason", String.valueOf(failure.getMessage()))
                .write();
    }

    private void count(String result, PermitAnswer answer) {
        mPermits.labelValues(result, Integer.toString(answer.rank())).inc();
    }

    private void logDenied(
            OrganisationLimiter.Request request,
            IssueResult.Denied denied,
            String reason,
            PermitAnswer answer) {
        RequestLimit limit = request.organisation().limit().orElseThrow();
        mLog.info("over the limit")
                .text("organisation", request.organisation().name())
                .text("program", request.programId().orElse(""))
                .text("reason", reason)
                .decimal("ratePerSecond", limit.requestsPerSecond())
                .decimal("burst", limit.burst())
                .decimal("level", denied.level())
                .number("waitMs", denied.waitMillis())
                .number("retryMs", denied.retryMillis())
                .text("issuer", answer.issuer())
                .number("rank", answer.rank())
                .number("configVersion", request.configVersion())
                .number("issuerConfigVersion", answer.configVersion())
                .write();
    }
}
