package org.oleandertrack.bench;

/**
 * One model call of a program.
 *
 * @param newTokens prompt tokens that the turn adds to the history
 * @param generatedTokens tokens of the answer
 * @param pauseNanos pause for tools after the turn
 */
record Turn(int newTokens, int generatedTokens, long pauseNanos) {}
