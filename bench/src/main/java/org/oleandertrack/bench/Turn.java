package org.oleandertrack.bench;

/**
 * One model call of a program.
 *
 * @param newPromptTokens prompt tokens that follow the texts and answers of the earlier turns
 * @param generatedTokens length of the answer in tokens
 * @param pauseNanos time after the answer in which the program runs tools
 */
record Turn(int newPromptTokens, int generatedTokens, long pauseNanos) {}
