package org.oleandertrack.system.scenario;

import java.util.List;
import java.util.Optional;

/** What an answer or a count must satisfy. */
sealed interface Check {

    /** The answer has one of some statuses. */
    record Status(String call, List<Long> statuses) implements Check {}

    /** The answer is a refusal with one of some codes and, if given, an execution. */
    record Code(String call, List<Long> codes, Optional<String> execution) implements Check {}

    /** The answer is whole, and a target gives the same text to the same request. */
    record Right(String call) implements Check {}

    /** Two answers have the same status and the same text. */
    record Same(String call, String other) implements Check {}

    /** The connection ended before the answer was whole. */
    record CutOff(String call) implements Check {}

    /** The answer's body contains a text. */
    record Contains(String call, String text) implements Check {}

    /** The answer has a header with this value. */
    record HeaderValue(String call, String name, String value) implements Check {}

    /** The answer is either an error or whole and right; never part of an answer. */
    record RightOrRefused(String call) implements Check {}

    /**
     * The answer agrees with the service's count: none if it says that the call was not run, one if
     * it succeeded, at most one otherwise.
     */
    record MatchesExecutions(String call, Count.Executions executions) implements Check {}

    /** A count is within a bound. */
    record Counted(Count count, Bound bound) implements Check {}
}
