package org.oleandertrack.telemetry.metrics;

import java.util.List;

/**
 * All metrics of the product. They are documented in {@code docs/metrics.md}. Labels never contain
 * program ids, because their number is not bounded, and of organisations only the ten with the
 * largest limits.
 */
public enum Metric {
    // Calls.
    CALLS(
            "oleandertrack_calls_total",
            MetricKind.COUNTER,
            "calls",
            "Calls that ended, by result code name; OK for success.",
            "kind",
            "result"),
    CALLS_UNDER_WAY("oleandertrack_calls_under_way", MetricKind.GAUGE, "calls", "Calls under way."),
    CALL_DURATION(
            "oleandertrack_call_duration_seconds",
            MetricKind.HISTOGRAM,
            "seconds",
            "Time from a call's arrival to the end of its answer.",
            "kind"),
    BUFFERED(
            "oleandertrack_buffered_bytes",
            MetricKind.GAUGE,
            "bytes",
            "Bytes of bodies held by the process."),
    EVENT_LOOP_DELAY(
            "oleandertrack_event_loop_delay_seconds",
            MetricKind.HISTOGRAM,
            "seconds",
            "Time by which the event loop ran a task of every 250 ms too late."),
    // Placement.
    DECISIONS(
            "oleandertrack_decisions_total",
            MetricKind.COUNTER,
            "decisions",
            "Routing and placement decisions, by kind and reason.",
            "kind",
            "reason"),
    HEDGES(
            "oleandertrack_hedges_total",
            MetricKind.COUNTER,
            "sends",
            "Second sends of late requests, by event: sent, won (its response was used) or"
                    + " cancelled (one of the two sends was, because the other was answered first).",
            "event"),
    HEDGES_DENIED(
            "oleandertrack_hedges_denied_total",
            MetricKind.COUNTER,
            "requests",
            "Late requests that were not sent to a second target, by reason.",
            "reason"),
    HEDGE_EXTRA_WORK(
            "oleandertrack_hedge_extra_percent",
            MetricKind.GAUGE,
            "percent",
            "Second sends per hundred repeatable requests since the start."),
    DECISION_DURATION(
            "oleandertrack_decision_duration_seconds",
            MetricKind.HISTOGRAM,
            "seconds",
            "Time taken by one placement decision."),
    PREDICTION_ERROR(
            "oleandertrack_prediction_error_ratio",
            MetricKind.RATIO_HISTOGRAM,
            "ratio",
            "Difference of the time of a complete response from the predicted one, relative to it.",
            "kind",
            "direction"),
    TARGETS(
            "oleandertrack_targets",
            MetricKind.GAUGE,
            "targets",
            "Known targets, by state: reachable, set_aside, leaving or unreachable.",
            "state"),
    PEER_CONNECTIONS(
            "oleandertrack_peer_connections",
            MetricKind.GAUGE,
            "connections",
            "Open connections of the inner protocol, by the peer's role.",
            "role"),
    QUARANTINED_REQUESTS(
            "oleandertrack_quarantined_requests",
            MetricKind.GAUGE,
            "requests",
            "Contents of requests that are not sent to targets because they crash them."),
    // Conversations.
    TURN_LOOKUP_DURATION(
            "oleandertrack_turn_lookup_duration_seconds",
            MetricKind.HISTOGRAM,
            "seconds",
            "Time to find the turn that another one continues, by where it was found.",
            "source"),
    TURN_KEEP_DURATION(
            "oleandertrack_turn_keep_duration_seconds",
            MetricKind.HISTOGRAM,
            "seconds",
            "Time to keep a turn before its response ends, by outcome.",
            "outcome"),
    // The platform's store.
    STORE_CALL_FAILURES(
            "oleandertrack_store_call_failures_total",
            MetricKind.COUNTER,
            "calls",
            "Direct calls to the store that failed, by cause: over_rate, rejected or unavailable.",
            "cause"),
    STORE_WRITE_LIMIT(
            "oleandertrack_store_write_limit",
            MetricKind.GAUGE,
            "writes per second",
            "Rate to which this host limits its writes to the store; 0 while it does not."),
    STORE_WRITES_QUEUED(
            "oleandertrack_store_writes_queued",
            MetricKind.GAUGE,
            "writes",
            "Writes that wait for the store's rate."),
    STORE_WRITES_PACED(
            "oleandertrack_store_writes_paced_total",
            MetricKind.COUNTER,
            "writes",
            "Writes that were joined into one transaction or refused by this host's limit.",
            "outcome"),
    // Limits of organisations.
    ORGANISATION_PERMITS(
            "oleandertrack_organisation_permits_total",
            MetricKind.COUNTER,
            "permits",
            "Permits asked for, by result and the issuer's rank; 0 if no issuer was asked.",
            "result",
            "rank"),
    ORGANISATION_DENIALS(
            "oleandertrack_organisation_denials_total",
            MetricKind.COUNTER,
            "requests",
            "Requests over their organisation's limit; the ten with the largest limits by name.",
            "organisation"),
    // Ownership and commit.
    SHARDS_HELD(
            "oleandertrack_shards_held",
            MetricKind.GAUGE,
            "shards",
            "Shards that this entry host holds."),
    COMMITS(
            "oleandertrack_commits_total",
            MetricKind.COUNTER,
            "commits",
            "Group commits, by outcome: applied, conflict or failed.",
            "outcome"),
    COMMIT_DURATION(
            "oleandertrack_commit_duration_seconds",
            MetricKind.HISTOGRAM,
            "seconds",
            "Time from the start of a group commit to its outcome."),
    COMMIT_QUEUED(
            "oleandertrack_commit_queued_bytes",
            MetricKind.GAUGE,
            "bytes",
            "Bytes of records that wait for a commit."),
    CONFIGURATION_VERSION(
            "oleandertrack_configuration_version",
            MetricKind.GAUGE,
            "version",
            "Configuration version in force."),
    CONFIGURATION_AGE(
            "oleandertrack_configuration_age_seconds",
            MetricKind.GAUGE,
            "seconds",
            "Time since the configuration was last confirmed as current."),
    // Sidecar.
    QUEUED_CALLS(
            "oleandertrack_queued_calls",
            MetricKind.GAUGE,
            "calls",
            "Calls that wait for the target, by priority level.",
            "level"),
    QUEUE_WAIT(
            "oleandertrack_queue_wait_seconds",
            MetricKind.HISTOGRAM,
            "seconds",
            "Time a call waited for the target."),
    CACHE_HELD(
            "oleandertrack_cache_held_tokens",
            MetricKind.GAUGE,
            "tokens",
            "Prefix tokens in engine memory, as the ledger counts them.");

    private final String mName;
    private final MetricKind mKind;
    private final String mUnit;
    private final String mSummary;
    // Comma-separated: a field of type List would be reported as mutable by the linter, which
    // requires immutable enum fields.
    private final String mLabels;

    Metric(String name, MetricKind kind, String unit, String summary, String... labels) {
        mName = name;
        mKind = kind;
        mUnit = unit;
        mSummary = summary;
        mLabels = String.join(",", labels);
    }

    /** Returns the name in the Prometheus text format. */
    public String metricName() {
        return mName;
    }

    public MetricKind kind() {
        return mKind;
    }

    /** Returns the unit of the value, written out in full. */
    public String unit() {
        return mUnit;
    }

    public String summary() {
        return mSummary;
    }

    public List<String> labels() {
        return mLabels.isEmpty() ? List.of() : List.of(mLabels.split(",", -1));
    }
}
