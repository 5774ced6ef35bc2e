package org.oleandertrack.core.queue;

/**
 * Load of a target and its queue.
 *
 * @param running number of calls that run
 * @param queued number of calls that wait
 * @param queuedWorkNanos expected service time of the waiting calls together, in nanoseconds
 */
public record QueueLoad(int running, int queued, long queuedWorkNanos) {}
