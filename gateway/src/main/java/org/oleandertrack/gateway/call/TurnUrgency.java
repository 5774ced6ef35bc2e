package org.oleandertrack.gateway.call;

import java.util.function.Predicate;
import org.oleandertrack.core.traffic.Route;
import org.oleandertrack.core.traffic.TrafficConfig;
import org.oleandertrack.core.turn.RecentPrograms;
import org.oleandertrack.core.turn.UrgencyPolicy;
import org.oleandertrack.telemetry.logging.EventLog;

/** Ranks the turns of all calls of a process for the engines' queues. Thread-safe. */
public final class TurnUrgency {

    // An id takes about 150 bytes.
    private static final int REMEMBERED_PROGRAMS = 8_192;

    private final Predicate<TrafficConfig> mEnabled;
    private final EventLog mLog;
    private final CallMetrics mMetrics;
    private final UrgencyPolicy mPolicy = new UrgencyPolicy();
    private final RecentPrograms mPrograms = new RecentPrograms(REMEMBERED_PROGRAMS);

    /**
     * Creates an instance.
     *
     * @param enabled whether turns are ranked under a configuration
     */
    public TurnUrgency(Predicate<TrafficConfig> enabled, EventLog log, CallMetrics metrics) {
        mEnabled = enabled;
        mLog = log;
        mMetrics = metrics;
    }

    /**
     * Returns the urgency of a call.
     *
     * @param arrivalNanos arrival of the request, as {@link System#nanoTime}
     */
    CallUrgency forCall(
            TrafficConfig config, Route route, CallMetadata metadata, long arrivalNanos) {
        boolean ranked = metadata.turn().isPresent() && mEnabled.test(config);
        boolean underWay =
                ranked
                        && (metadata.program()
                                        .map(program -> mPrograms.add(metadata.routingKey()))
                                        .orElse(true)
                                || metadata.previousTurnId().isPresent()
                                || metadata.takeUp().isPresent());
        return new CallUrgency(this, ranked, route.priority(), underWay, metadata, arrivalNanos);
    }

    int rank(UrgencyPolicy.Turn turn, String requestId) {
        int rank = mPolicy.rank(turn);
        mMetrics.recordDecision("urgency", Integer.toString(rank));
        var line =
                mLog.info("ranked")
                        .text("request", requestId)
                        .number("urgency", rank)
                        .number("priority", turn.priority())
                        .flag("programUnderWay", turn.programUnderWay())
                        .number("predictedMs", turn.predictedMillis());
        turn.slackMillis().ifPresent(slackMillis -> line.number("slackMs", slackMillis));
        line.write();
        return rank;
    }
}
