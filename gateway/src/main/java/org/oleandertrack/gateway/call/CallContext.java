package org.oleandertrack.gateway.call;

import org.oleandertrack.coordination.spending.SpendingService;
import org.oleandertrack.gateway.targets.TargetRegistry;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * What all calls of a process share.
 *
 * @param dialect reads and writes headers
 * @param answers makes the gateway's own answers
 * @param targets chooses targets
 * @param spending reserves tokens of programs' budgets
 * @param log receives a line for each decision
 * @param metrics counts calls
 */
public record CallContext(
        CallDialect dialect,
        OwnAnswers answers,
        TargetRegistry targets,
        SpendingService spending,
        EventLog log,
        CallMetrics metrics) {}
