package org.oleandertrack.server.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.oleandertrack.core.result.Execution;
import org.oleandertrack.protocol.message.ResponseEnd;

/** Tests how the executions of several attempts are combined and converted. */
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

    /** Guards against "not run" if a faulty peer sends an end without execution. */
    @Test
    void unspecifiedExecutionIsUnknown() {
        assertEquals(
                Execution.UNKNOWN,
                Executions.fromProtocol(ResponseEnd.getDefaultInstance().getExecution()));
    }

    /** Guards against a value that changes when it is converted for the protocol and back. */
    @Test
    void conversionPreservesTheExecution() {
        for (Execution execution : Execution.values()) {
            assertEquals(execution, Executions.fromProtocol(Executions.toProtocol(execution)));
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
