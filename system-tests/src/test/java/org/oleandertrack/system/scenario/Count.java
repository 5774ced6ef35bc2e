package org.oleandertrack.system.scenario;

/** A number that a process or a background load reports. */
sealed interface Count {

    /** A field of a stand-in's {@code /control/stats}. */
    record Stats(String name, String field) implements Count {}

    /** How often a service stand-in executed a key. */
    record Executions(String name, String key) implements Count {}

    /** How many keys a service stand-in executed more than once. */
    record RepeatedKeys(String name) implements Count {}

    /** Requests that a service stand-in holds. */
    record Held(String name) implements Count {}

    /** The sum over all labels of a daemon's metric. */
    record Metric(String node, String metric) implements Count {}

    /** Rows of the answer to an operator's query. */
    record Rows(String node, String query) implements Count {}

    /** Calls of a background load that got no whole and right answer. */
    record Lost(String load) implements Count {}

    /** Calls of a background load that got their answer. */
    record Completed(String load) implements Count {}
}
