package org.oleandertrack.server.entry;

import org.oleandertrack.core.result.Execution;

/**
 * Converts and combines values of {@link Execution}: what is known about whether a call was run.
 */
final class Executions {

    private Executions() {}

    static Execution fromProtocol(org.oleandertrack.protocol.message.Execution message) {
        return switch (message) {
            case EXECUTION_NOT_RUN -> Execution.NOT_RUN;
            case EXECUTION_RUN -> Execution.RUN;
            default -> Execution.UNKNOWN;
        };
    }

    static org.oleandertrack.protocol.message.Execution toProtocol(Execution execution) {
        return switch (execution) {
            case NOT_RUN -> org.oleandertrack.protocol.message.Execution.EXECUTION_NOT_RUN;
            case RUN -> org.oleandertrack.protocol.message.Execution.EXECUTION_RUN;
            case UNKNOWN -> org.oleandertrack.protocol.message.Execution.EXECUTION_UNKNOWN;
        };
    }

    /**
     * Returns the execution of a call after two attempts. The call was run if an attempt was run,
     * and it was not run only if neither attempt was run.
     */
    static Execution combine(Execution first, Execution second) {
        if (first == Execution.RUN || second == Execution.RUN) {
            return Execution.RUN;
        }
        return first == Execution.NOT_RUN ? second : Execution.UNKNOWN;
    }
}
