package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Optional;

/** A condition on an answer or on a count. */
sealed interface Check {

    /** The answer has one of the given statuses. */
    record Status(String call, List<Long> statuses) implements Check {}

    /**
     * The answer is a refusal with one of the given result codes.
     *
     * @param execution what the refusal must report about the execution of the request, if given:
     *     "not run", "run" or "unknown"
     */
    record Code(String call, List<Long> codes, Optional<String> execution) implements Check {}

    /** The answer is complete, and a target answers the same request with the same text. */
    record Right(String call) implements Check {}

    /** Two answers have the same status and the same text. */
    record Same(String call, String other) implements Check {}

    /** The connection was closed before the answer was complete. */
    record CutOff(String call) implements Check {}

    /** The body of the answer contains the given text. */
    record Contains(String call, String text) implements Check {}

    /** The answer has a header with the given value. */
    record HeaderValue(String call, String name, String value) implements Check {}

    /**
     * The answer has a result code or satisfies {@link Right}. An incomplete answer without a
     * result code fails.
     */
    record RightOrRefused(String call) implements Check {}

    /**
     * The answer is consistent with the number of executions that the service counted: 0 if the
     * answer says that the call was not run, 1 if it says that the call was run or if it succeeded,
     * and at most 1 otherwise.
     */
    record MatchesExecutions(String call, Count.Executions executions) implements Check {}

    /** A count is within a bound. */
    record Counted(Count count, Bound bound) implements Check {}
}
