package org.oleandertrack.core.turn;

/**
 * Load that a target reports in a response.
 *
 * @param running number of requests that it runs
 * @param waiting number of requests that wait at it
 * @param slots number of requests that it can run at once
 * @param slowness ratio of the current processing time on its host to the usual one
 */
public record ReportedLoad(int running, int waiting, int slots, double slowness) {}
