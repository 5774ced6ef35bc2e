package org.oleandertrack.gateway.targets;

/**
 * The limit that a target states on the requests of all hosts together.
 *
 * @param requestsPerSecond the rate that it accepts
 * @param statedNanos when its last response stated the rate, as {@link System#nanoTime}
 */
record StatedRate(double requestsPerSecond, long statedNanos) {}
