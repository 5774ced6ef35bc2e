package org.oleandertrack.system.scenario;

/** A number that is read from a process or from a background load. */
sealed interface Count {

    /** A numeric field of the page {@code /control/stats} of a stand-in. */
    record Stats(String name, String field) implements Count {}

    /** How often a service stand-in executed requests with an idempotency key. */
    record Executions(String name, String key) implements Count {}

    /** How many idempotency keys a service stand-in executed more than once. */
    record RepeatedKeys(String name) implements Count {}

    /** How many requests a service stand-in holds back unanswered. */
    record Held(String name) implements Count {}

    /** The sum of a metric of a daemon over all its labels. */
    record Metric(String node, String metric) implements Count {}

    /** How many rows the answer to an operator's query has. */
    record Rows(String node, String query) implements Count {}

    /** How many calls of a background load did not get a complete and correct answer. */
    record Lost(String load) implements Count {}

    /** How many calls of a background load got a complete answer. */
    record Completed(String load) implements Count {}
}
