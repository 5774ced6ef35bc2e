package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.protocol.message.ResponseEnd;

/** What several attempts prove together. */
final class ExecutionsTest {

    /** Guards against a call reported as not run although one of its attempts may have run. */
    @Test
    void notRunOnlyIfNoAttemptRan() {
        for (Execution first : Execution.values()) {
            for (Execution second : Execution.values()) {
                assertEquals(
                        expected(first, second),
                        Executions.combine(first, second),
                        first + " and " + second);
            }
        }
    }

    /** Guards against an end without execution, from a faulty peer, that reads as not run. */
    @Test
    void unspecifiedIsUnknown() {
        assertEquals(
                Execution.UNKNOWN,
                Executions.fromMessage(ResponseEnd.getDefaultInstance().getExecution()));
    }

    /** Guards against a value that changes on its way between processes. */
    @Test
    void conversionKeepsTheValue() {
        for (Execution execution : Execution.values()) {
            assertEquals(execution, Executions.fromMessage(Executions.toMessage(execution)));
        }
    }

    private static Execution expected(Execution first, Execution second) {
        if (first == Execution.RUN || second == Execution.RUN) {
            return Execution.RUN;
        }
        return first == Execution.NOT_RUN && second == Execution.NOT_RUN
                ? Execution.NOT_RUN
                : Execution.UNKNOWN;
    }
}
