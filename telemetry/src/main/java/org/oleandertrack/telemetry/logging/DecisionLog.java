package org.oleandertrack.telemetry.logging;

import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Writes a log line at level info for each routing or placement decision. The message is the kind
 * of the decision; its other components are separate JSON fields. Thread-safe.
 */
public final class DecisionLog {

    static final String ORGANISATION_FIELD = "organisation";
    static final String PROGRAM_FIELD = "program";
    static final String TURN_FIELD = "turn";
    static final String TARGET_FIELD = "target";
    static final String ZONE_FIELD = "zone";
    static final String REASON_FIELD = "reason";

    /** Logs a decision. */
    public void write(Decision decision) {
        if (!Logger.isInfoEnabled()) {
            return;
        }
        ThreadContext.put(ORGANISATION_FIELD, decision.organisation());
        ThreadContext.put(PROGRAM_FIELD, decision.program());
        ThreadContext.put(TURN_FIELD, decision.turn());
        ThreadContext.put(TARGET_FIELD, decision.target());
        ThreadContext.put(ZONE_FIELD, decision.zone());
        ThreadContext.put(REASON_FIELD, decision.reason());
        try {
            Logger.info(decision.kind().text());
        } finally {
            ThreadContext.remove(ORGANISATION_FIELD);
            ThreadContext.remove(PROGRAM_FIELD);
            ThreadContext.remove(TURN_FIELD);
            ThreadContext.remove(TARGET_FIELD);
            ThreadContext.remove(ZONE_FIELD);
            ThreadContext.remove(REASON_FIELD);
        }
    }
}
