package org.oleandertrack.gateway.call;

import org.oleandertrack.core.health.HedgeSchedule;

/**
 * What the calls of a process share to send late requests to a second target.
 *
 * @param schedule decides when second sends are due and limits their number
 * @param metrics counts them
 */
public record Hedging(HedgeSchedule schedule, HedgeMetrics metrics) {}
