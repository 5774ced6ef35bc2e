package org.oleandertrack.server.entry;

import org.oleandertrack.core.result.Execution;

/** Converts and combines what is known about the execution of a request. */
final class Executions {

    private Executions() {}

    static Execution fromMessage(org.oleandertrack.protocol.message.Execution message) {
        return switch (message) {
            case EXECUTION_NOT_RUN -> Execution.NOT_RUN;
            case EXECUTION_RUN -> Execution.RUN;
            default -> Execution.UNKNOWN;
        };
    }

    static org.oleandertrack.protocol.message.Execution toMessage(Execution execution) {
        return switch (execution) {
            case NOT_RUN -> org.oleandertrack.protocol.message.Execution.EXECUTION_NOT_RUN;
            case RUN -> org.oleandertrack.protocol.message.Execution.EXECUTION_RUN;
            case UNKNOWN -> org.oleandertrack.protocol.message.Execution.EXECUTION_UNKNOWN;
        };
    }

    /**
     * Returns what is known of a request after several attempts: it was not run only if no attempt
     * was run.
     */
    static Execution combine(Execution first, Execution second) {
        if (first == Execution.RUN || second == Execution.RUN) {
            return Execution.RUN;
        }
        return first == Execution.NOT_RUN ? second : Execution.UNKNOWN;
    }
}
