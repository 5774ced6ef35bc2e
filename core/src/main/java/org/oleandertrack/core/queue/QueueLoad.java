package org.oleandertrack.core.queue;

/**
 * Load of a queue and its target.
 *
 * @param running calls that run
 * @param queued calls that wait
 * @param queuedWorkNanos service that the waiting calls are expected to need, in nanoseconds
 */
public record QueueLoad(int running, int queued, long queuedWorkNanos) {}
