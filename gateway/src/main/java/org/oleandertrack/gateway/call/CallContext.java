package org.oleandertrack.gateway.call;

import java.util.Optional;
import org.oleandertrack.coordination.conversation.ConversationService;
import org.oleandertrack.coordination.quarantine.QuarantineService;
import org.oleandertrack.coordination.spending.SpendingService;
import org.oleandertrack.coordination.stream.StreamOriginService;
import org.oleandertrack.core.discovery.TargetDirectory;
import org.oleandertrack.core.quarantine.AnsweredPaths;
import org.oleandertrack.gateway.targets.PermitIssuer;
import org.oleandertrack.gateway.targets.TargetRegistry;
import org.oleandertrack.telemetry.logging.EventLog;

/**
 * Collaborators that all calls of a process share.
 *
 * @param headerCodec decodes headers of callers and targets, and encodes headers for them
 * @param gatewayResponses creates the responses that do not come from a target
 * @param targetDirectory knows which targets may get work
 * @param targets places calls on targets
 * @param permits issues permits for requests to targets that limit their rate
 * @param spending reserves tokens of the programs' budgets
 * @param quarantine knows the requests that crash targets
 * @param answeredPaths paths whose requests targets have answered
 * @param streamOrigins knows which software version began a stream
 * @param conversations keeps and finds the turns of routes that keep history
 * @param stopAdmission decides which calls are taken and sent while the process stops
 * @param urgency ranks turns for the engines' queues
 * @param responseMemory bounds the parts of responses that are held
 * @param hedging sends late requests to a second target; empty if the process does not
 * @param log receives one line for each decision
 * @param metrics counts calls and decisions
 */
public record CallContext(
        HeaderCodec headerCodec,
        GatewayResponses gatewayResponses,
        TargetDirectory targetDirectory,
        TargetRegistry targets,
        PermitIssuer permits,
        SpendingService spending,
        QuarantineService quarantine,
        AnsweredPaths answeredPaths,
        StreamOriginService streamOrigins,
        ConversationService conversations,
        StopAdmission stopAdmission,
        TurnUrgency urgency,
        ResponseMemory responseMemory,
        Optional<Hedging> hedging,
        EventLog log,
        CallMetrics metrics) {}
