package org.oleandertrack.core.turn;

/**
 * Load that a target states in a response.
 *
 * @param running requests that it runs
 * @param waiting requests that wait at it
 * @param slots requests that it can run at once
 * @param slowness time that work takes on its host at present, relative to the usual
 */
public record LoadFigures(int running, int waiting, int slots, double slowness) {}
